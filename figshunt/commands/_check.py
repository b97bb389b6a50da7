"""``figshunt check``: check settings and tables without running anything."""

import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

from figshunt.codec import decode_tables, read_settings
from figshunt.tables import CheckedTables, describe_difference

EXIT_INVALID = 1
EXIT_UNREADABLE = 2


def check(
    *settings: Path,
    routes: Path | None = None,
    pools: Path | None = None,
    against: list[Path] | None = None,
) -> int:
    """Check settings files and a pair of tables, and print every fault.

    Exit status: 0 if there is no fault, 1 if there is one, 2 if a file can't
    be read or only one of the two tables is given.

    :param settings: settings files, JSON with comments; may be none.
    :param routes: routes table; goes with --pools.
    :param pools: pools table; goes with --routes.
    :param against: routes and pools table of the revision in force; prints
        what the new pair changes.
    """
    if (routes is None) != (pools is None):
        print("--routes and --pools belong together", file=sys.stderr)
        return EXIT_UNREADABLE
    if against and (routes is None or len(against) != 2):
        print("--against takes two tables and needs --routes", file=sys.stderr)
        return EXIT_UNREADABLE
    try:
        faults = list(_settings_faults(settings))
        if routes is not None and pools is not None:
            faults += _check_tables((routes, pools), against or ())
    except (OSError, UnicodeError) as error:
        print(f"can't read: {error}", file=sys.stderr)
        return EXIT_UNREADABLE
    for fault in faults:
        print(fault)
    print(f"{len(faults)} fault{'' if len(faults) == 1 else 's'}")
    return EXIT_INVALID if faults else 0


def _settings_faults(paths: Iterable[Path]) -> Iterator[str]:
    for path in paths:
        for fault in read_settings(path).faults:
            yield f"{path}: {fault}"


def _check_tables(new: Sequence[Path], old: Sequence[Path]) -> list[str]:
    """Return the faults of the new pair; print what it changes in the old one."""
    checked = _read_pair(new)
    faults = [str(fault) for fault in checked.faults]
    if not old:
        return faults
    before = _read_pair(old)
    faults += [f"--against: {fault}" for fault in before.faults]
    if checked.tables is None or before.tables is None:
        return faults
    for line in describe_difference(before.tables, checked.tables):
        print(line)
    if checked.tables.revision <= before.tables.revision:
        faults.append(f"revision: expected more than {before.tables.revision}")
    return faults


def _read_pair(paths: Sequence[Path]) -> CheckedTables:
    routes, pools = (path.read_text(encoding="utf-8") for path in paths)
    return decode_tables(routes, pools)
