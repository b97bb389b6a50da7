"""``figshunt check``: validate settings and tables without running a daemon."""

import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

from figshunt.codec import decode_tables, read_settings
from figshunt.tables import CheckedTables, describe_difference

EXIT_FAULTS_FOUND = 1
EXIT_UNUSABLE_INPUT = 2


def check(
    *settings: Path,
    routes: Path | None = None,
    pools: Path | None = None,
    against: list[Path] | None = None,
) -> int:
    """Validate settings files and a pair of tables, and print all faults.

    Exit status: 0 if there are no faults, 1 if there are any, 2 if a file can't
    be read or the table options are incomplete.

    :param settings: settings files, JSON with comments; optional.
    :param routes: routes table; requires --pools.
    :param pools: pools table; requires --routes.
    :param against: routes and pools tables of the revision in force; prints the
        changes that the new pair makes to them.
    """
    if (routes is None) != (pools is None):
        print("--routes and --pools must be given together", file=sys.stderr)
        return EXIT_UNUSABLE_INPUT
    if against and (routes is None or len(against) != 2):
        print(
            "--against takes two tables and requires --routes and --pools",
            file=sys.stderr,
        )
        return EXIT_UNUSABLE_INPUT
    try:
        faults = list(_find_settings_faults(settings))
        if routes is not None and pools is not None:
            faults += _check_tables((routes, pools), against or ())
    except (OSError, UnicodeError) as error:
        print(f"can't read: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_INPUT
    for fault in faults:
        print(fault)
    print(f"{len(faults)} fault{'' if len(faults) == 1 else 's'}")
    return EXIT_FAULTS_FOUND if faults else 0


def _find_settings_faults(paths: Iterable[Path]) -> Iterator[str]:
    for path in paths:
        for fault in read_settings(path).faults:
            yield f"{path}: {fault}"


def _check_tables(new_paths: Sequence[Path], old_paths: Sequence[Path]) -> list[str]:
    """Return the faults of the new tables and print their changes to the old ones."""
    new_result = _read_tables(new_paths)
    faults = [str(fault) for fault in new_result.faults]
    if not old_paths:
        return faults
    old_result = _read_tables(old_paths)
    faults += [f"--against: {fault}" for fault in old_result.faults]
    if new_result.tables is None or old_result.tables is None:
        return faults
    for line in describe_difference(old_result.tables, new_result.tables):
        print(line)
    if new_result.tables.revision <= old_result.tables.revision:
        faults.append(
            f"revision: expected more than {old_result.tables.revision}, "
            f"got {new_result.tables.revision}"
        )
    return faults


def _read_tables(paths: Sequence[Path]) -> CheckedTables:
    routes, pools = (path.read_text(encoding="utf-8") for path in paths)
    return decode_tables(routes, pools)
