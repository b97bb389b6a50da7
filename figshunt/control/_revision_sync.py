"""Synchronization of the table revision with the peers."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from figshunt.types import RevisionNumber, SeatNumber

SYNC_TIMEOUT_MS = 2_000


@dataclass(frozen=True, slots=True)
class RevisionSync:
    """A query to peers for their revisions that is still in progress.

    ``query_number`` associates answers with this query. ``pending_seats`` have
    not answered yet, and ``min_revision`` is the highest revision in the
    answers so far. With ``awaits_read``, the query also waits for a read of
    the configuration service, because no peer is connected. It ends at
    ``deadline_ms`` (monotonic) at the latest.
    """

    query_number: int
    pending_seats: frozenset[SeatNumber]
    awaits_read: bool
    deadline_ms: int
    min_revision: RevisionNumber = RevisionNumber(0)

    @classmethod
    def start(
        cls,
        query_number: int,
        seats: Iterable[SeatNumber],
        awaits_read: bool,
        now_ms: int,
    ) -> "RevisionSync":
        """Return a new query to which none of the seats has answered."""
        return cls(
            query_number, frozenset(seats), awaits_read, now_ms + SYNC_TIMEOUT_MS
        )

    def with_answer(
        self, seat: SeatNumber, query_number: int, revision: RevisionNumber
    ) -> "RevisionSync":
        """Return the query after the seat answered with its revision.

        An answer to another query changes nothing.
        """
        if query_number != self.query_number:
            return self
        min_revision = max(self.min_revision, revision)
        return replace(
            self, pending_seats=self.pending_seats - {seat}, min_revision=min_revision
        )

    def without_seat(self, seat: SeatNumber) -> "RevisionSync":
        """Return the query without the answer of a disconnected seat."""
        return replace(self, pending_seats=self.pending_seats - {seat})

    def with_completed_read(self) -> "RevisionSync":
        """Return the query after a read of the configuration service ended."""
        return replace(self, awaits_read=False)

    def is_complete(self, revision: RevisionNumber, now_ms: int) -> bool:
        """Return whether the query has succeeded or timed out.

        It has succeeded if no answer and no read is pending and the highest
        revision in the answers is in force.

        :param revision: the revision in force.
        """
        has_all_answers = not self.pending_seats and not self.awaits_read
        return now_ms >= self.deadline_ms or (
            has_all_answers and revision >= self.min_revision
        )
