"""``figshunt check``: check settings and tables without running anything."""

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

from figshunt.codec import decode_tables, read_settings

EXIT_INVALID = 1
EXIT_UNREADABLE = 2


def check(
    *settings: Path, routes: Path | None = None, pools: Path | None = None
) -> int:
    """Check settings files and a pair of tables, and print every fault.

    Exit status: 0 if there is no fault, 1 if there is one, 2 if a file can't
    be read or only one of the two tables is given.

    :param settings: settings files, JSON with comments; may be none.
    :param routes: routes table; goes with --pools.
    :param pools: pools table; goes with --routes.
    """
    if (routes is None) != (pools is None):
        print("--routes and --pools belong together", file=sys.stderr)
        return EXIT_UNREADABLE
    try:
        faults = list(_settings_faults(settings))
        if routes is not None and pools is not None:
            faults += _table_faults(routes, pools)
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


def _table_faults(routes: Path, pools: Path) -> list[str]:
    checked = decode_tables(
        routes.read_text(encoding="utf-8"), pools.read_text(encoding="utf-8")
    )
    return [str(fault) for fault in checked.faults]
