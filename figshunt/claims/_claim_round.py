"""Counts the votes on one claim."""

from collections import Counter
from enum import Enum

from figshunt.claims._known_incarnations import KnownIncarnations
from figshunt.types import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    Incarnation,
    Moment,
    RoutedRequest,
    SeatIncarnation,
    SeatNumber,
)

ROUND_TIMEOUT_MS = 1_000
RESEND_MS = 250


class RoundResult(Enum):
    """Where a round stands."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"


class ClaimRound:
    """One attempt of one request to get its key granted by a majority.

    Grants count only inside of the round in which they were given and only
    while the round is young, so a paused daemon never acts on old grants.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        request: ClaimRequest,
        seats: tuple[SeatNumber, ...],
        now: Moment,
    ) -> None:
        self.routed = routed
        self.request = request
        self.resend_ms = now.monotonic_ms + RESEND_MS
        self.ends_ms = min(now.monotonic_ms + ROUND_TIMEOUT_MS, routed.deadline_ms)
        self._started = now
        self._seats = seats
        self._majority = len(seats) // 2 + 1
        self._known = KnownIncarnations()
        self._replies_by_voter: dict[tuple[SeatNumber, Incarnation], ClaimReply] = {}

    def is_over(self, now: Moment) -> bool:
        """Return whether the time is up on either clock.

        The monotonic clock may stand still while a machine is suspended.
        """
        wall_ms = now.wall_ms - self._started.wall_ms
        return now.monotonic_ms >= self.ends_ms or wall_ms >= ROUND_TIMEOUT_MS

    def add(self, seat: SeatNumber, reply: ClaimReply) -> None:
        """Add a reply that belongs to this round."""
        self._known.merge(reply.known)
        self._replies_by_voter[(seat, reply.voter)] = reply

    def result(self, known: KnownIncarnations) -> RoundResult:
        """Count the grants, given what this daemon knows besides the replies."""
        self._known.merge(known.entries())
        verdicts_by_seat = {
            seat: reply.verdict
            for (seat, voter), reply in self._replies_by_voter.items()
            if self._is_counted(seat, voter)
        }
        granted = sum(
            verdict is ClaimVerdict.GRANTED for verdict in verdicts_by_seat.values()
        )
        if granted >= self._majority:
            return RoundResult.WON
        silent = len(self._seats) - len(verdicts_by_seat)
        if granted + silent < self._majority:
            return RoundResult.LOST
        return RoundResult.OPEN

    def _is_counted(self, seat: SeatNumber, voter: Incarnation) -> bool:
        """Return whether the voter is the latest known occupant of its seat.

        Two occupants of one seat may grant the same key to two claimants.
        """
        return not self._known.is_superseded(seat, voter)

    def put_off_resend(self, now: Moment) -> None:
        """Set the time at which silent seats are asked once more."""
        self.resend_ms = now.monotonic_ms + RESEND_MS

    def silent_seats(self) -> list[SeatNumber]:
        """Return the seats that have not replied."""
        replied = {seat for seat, _ in self._replies_by_voter}
        return [seat for seat in self._seats if seat not in replied]

    def holder(self) -> SeatIncarnation | None:
        """Return the claimant to which most seats granted the key before."""
        holders = Counter(
            reply.holder
            for reply in self._replies_by_voter.values()
            if reply.verdict is ClaimVerdict.HELD and reply.holder is not None
        )
        return holders.most_common(1)[0][0] if holders else None
