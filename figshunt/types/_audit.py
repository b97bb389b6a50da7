"""Entry of the audit trail of table revisions."""

from dataclasses import dataclass

from figshunt.types._identifiers import RevisionNumber
from figshunt.types._states import TableSourceKind


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """The outcome of one revision that this daemon received.

    ``seen_ms`` and ``in_force_ms`` are wall times. ``changes`` describes the
    differences from the tables that were in force before. ``refusals`` lists the
    reasons for which the revision was refused; it is empty for a revision that
    took effect.
    """

    revision: RevisionNumber | None
    source: TableSourceKind
    peer: str
    seen_ms: int
    in_force_ms: int | None
    changes: tuple[str, ...] = ()
    refusals: tuple[str, ...] = ()
