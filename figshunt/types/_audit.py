"""One entry of the trail of table revisions."""

from dataclasses import dataclass

from figshunt.types._identifiers import RevisionNumber
from figshunt.types._states import TableSourceKind


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """What happened to one revision that was seen.

    ``seen_ms`` and ``in_force_ms`` are wall times. ``changes`` tells what is
    different from the tables that were in force; ``refusals`` tells why the
    revision was refused and is empty for one that took effect.
    """

    revision: RevisionNumber | None
    source: TableSourceKind
    peer: str
    seen_ms: int
    in_force_ms: int | None
    changes: tuple[str, ...] = ()
    refusals: tuple[str, ...] = ()
