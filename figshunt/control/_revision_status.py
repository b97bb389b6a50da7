"""What a daemon can say of the revision that it has in force."""

from dataclasses import dataclass

from figshunt.types import AuditEntry, RevisionNumber, SeatNumber


@dataclass(frozen=True, slots=True)
class RevisionStatus:
    """The revision in force, where it came from and how sure that is.

    A daemon that hears no peer can't know of a newer revision while the
    configuration service is down or stale; ``last_read_age_ms`` tells how old
    its last successful read is, if there was one.
    """

    revision: RevisionNumber
    digest: str
    in_force: AuditEntry | None
    last_read_age_ms: int | None
    peers_heard: tuple[SeatNumber, ...]
    highest_peer_revision: RevisionNumber
    is_settled: bool
    audit: tuple[AuditEntry, ...]

    @property
    def is_alone(self) -> bool:
        """Return whether no peer would tell of a newer revision."""
        return not self.peers_heard
