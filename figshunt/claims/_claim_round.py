"""Counts the votes in one round of claiming a key."""

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
    """Result of a round so far."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"


class ClaimRound:
    """One attempt to get the key of a request granted by a majority of seats.

    Grants count only in the round for which they were given, and only until
    the round times out, so that a daemon never acts on stale grants after a
    pause.
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
        self.expires_ms = min(now.monotonic_ms + ROUND_TIMEOUT_MS, routed.deadline_ms)
        self._started = now
        self._seats = seats
        self._majority = len(seats) // 2 + 1
        self._known = KnownIncarnations()
        self._replies_by_voter: dict[tuple[SeatNumber, Incarnation], ClaimReply] = {}

    def is_over(self, now: Moment) -> bool:
        """Return whether the round has timed out on either clock.

        The wall clock is checked as well because the monotonic clock may stop
        while the machine is suspended.
        """
        wall_ms = now.wall_ms - self._started.wall_ms
        return now.monotonic_ms >= self.expires_ms or wall_ms >= ROUND_TIMEOUT_MS

    def add_reply(self, seat: SeatNumber, reply: ClaimReply) -> None:
        """Add a reply to this round; the caller has checked that it belongs here."""
        self._known.merge(reply.known)
        self._replies_by_voter[(seat, reply.voter)] = reply

    def result(self, known: KnownIncarnations) -> RoundResult:
        """Count the grants.

        :param known: the latest known occupant of each seat, used in addition to
            what the replies report.
        """
        self._known.merge(known.entries())
        verdicts_by_seat = {
            seat: reply.verdict
            for (seat, voter), reply in self._replies_by_voter.items()
            if self._is_counted(seat, voter)
        }
        granted_count = sum(
            verdict is ClaimVerdict.GRANTED for verdict in verdicts_by_seat.values()
        )
        if granted_count >= self._majority:
            return RoundResult.WON
        outstanding_count = len(self._seats) - len(verdicts_by_seat)
        if granted_count + outstanding_count < self._majority:
            return RoundResult.LOST
        return RoundResult.OPEN

    def _is_counted(self, seat: SeatNumber, voter: Incarnation) -> bool:
        """Return whether the voter is the latest known occupant of its seat.

        Votes of a replaced occupant don't count, since two occupants of one seat
        may grant the same key to two claimants.
        """
        return not self._known.is_superseded(seat, voter)

    def schedule_resend(self, now: Moment) -> None:
        """Set the time at which the request is resent to seats without a reply."""
        self.resend_ms = now.monotonic_ms + RESEND_MS

    def seats_without_reply(self) -> list[SeatNumber]:
        """Return the seats from which no reply has arrived."""
        replied_seats = {seat for seat, _ in self._replies_by_voter}
        return [seat for seat in self._seats if seat not in replied_seats]

    def holder(self) -> SeatIncarnation | None:
        """Return the claimant most often named as the holder, ``None`` if none is."""
        holders = Counter(
            reply.holder
            for reply in self._replies_by_voter.values()
            if reply.verdict is ClaimVerdict.HELD and reply.holder is not None
        )
        return holders.most_common(1)[0][0] if holders else None
