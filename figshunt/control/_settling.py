"""Whether this daemon knows the newest revision that it can learn now."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from figshunt.types import RevisionNumber, SeatNumber

SETTLE_LIMIT_MS = 2_000


@dataclass(frozen=True, slots=True)
class Settling:
    """Peers whose answer is awaited, until ``ends_ms`` (monotonic) at most.

    ``number`` ties answers to this question. ``needed`` is the highest
    revision answered so far. With ``awaits_read``, a read of the
    configuration service is awaited, as there is no peer to ask.
    """

    number: int
    awaited: frozenset[SeatNumber]
    awaits_read: bool
    ends_ms: int
    needed: RevisionNumber = RevisionNumber(0)

    @classmethod
    def begin(
        cls, number: int, seats: Iterable[SeatNumber], awaits_read: bool, now_ms: int
    ) -> "Settling":
        """Return the state in which each of the seats is still to answer."""
        return cls(number, frozenset(seats), awaits_read, now_ms + SETTLE_LIMIT_MS)

    def after_answer(
        self, seat: SeatNumber, number: int, revision: RevisionNumber
    ) -> "Settling":
        """Return the state once the seat has told its revision."""
        if number != self.number:
            return self
        needed = max(self.needed, revision)
        return replace(self, awaited=self.awaited - {seat}, needed=needed)

    def without(self, seat: SeatNumber) -> "Settling":
        """Return the state once the seat is lost."""
        return replace(self, awaited=self.awaited - {seat})

    def after_read(self) -> "Settling":
        """Return the state once a read of the configuration service ended."""
        return replace(self, awaits_read=False)

    def is_over(self, revision: RevisionNumber, now_ms: int) -> bool:
        """Return whether nothing more is awaited with this revision in force."""
        has_all = not self.awaited and not self.awaits_read
        return now_ms >= self.ends_ms or (has_all and revision >= self.needed)
