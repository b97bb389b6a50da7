"""Status of the table revision in force."""

from dataclasses import dataclass

from figshunt.types import AuditEntry, RevisionNumber, SeatNumber


@dataclass(frozen=True, slots=True)
class RevisionStatus:
    """The revision in force, its source and how current it is.

    Without a reachable peer, a daemon can't detect a newer revision while the
    configuration service is down or stale. ``last_read_age_ms`` is the age of
    its last successful read, if there was one.
    """

    revision: RevisionNumber
    digest: str
    in_force: AuditEntry | None
    last_read_age_ms: int | None
    reachable_peers: tuple[SeatNumber, ...]
    highest_peer_revision: RevisionNumber
    is_synchronized: bool
    audit: tuple[AuditEntry, ...]

    @property
    def is_isolated(self) -> bool:
        """Return whether no peer is reachable that could announce a newer revision."""
        return not self.reachable_peers
