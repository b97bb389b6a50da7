"""Founding of an empty cell by a unanimous vote of all seats."""

from dataclasses import dataclass

from figshunt.types import (
    FoundingVote,
    GenerationNumber,
    Incarnation,
    JoinRequest,
    Moment,
    SeatIncarnation,
    SeatNumber,
)

CANDIDATE_TTL_MS = 3_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """An occupant that isn't established, and the candidates that it listed."""

    incarnation: Incarnation
    candidates: tuple[SeatIncarnation, ...]
    received_ms: int


class Founding:
    """Tracks the candidates and votes once all seats list the same ones.

    An occupant votes at most once in a generation and can't withdraw its vote;
    otherwise two cells might be founded, each with a majority.
    """

    def __init__(self, own_seat: SeatNumber, seats: tuple[SeatNumber, ...]) -> None:
        self._own_seat = own_seat
        self._seats = seats
        self._candidates_by_seat: dict[SeatNumber, Candidate] = {}
        self._voters: set[SeatNumber] = set()
        self.members: tuple[SeatIncarnation, ...] | None = None

    def record_candidate(
        self, seat: SeatNumber, request: JoinRequest, now: Moment
    ) -> bool:
        """Record a candidate; return whether it is a new occupant of its seat."""
        previous_candidate = self._candidates_by_seat.get(seat)
        if (
            previous_candidate is not None
            and request.incarnation < previous_candidate.incarnation
        ):
            return False
        self._candidates_by_seat[seat] = Candidate(
            request.incarnation, request.candidates, now.monotonic_ms
        )
        return (
            previous_candidate is None
            or previous_candidate.incarnation != request.incarnation
        )

    def candidates(
        self, own_incarnation: Incarnation, now: Moment
    ) -> tuple[SeatIncarnation, ...]:
        """Return this occupant and the candidates from which it heard recently."""
        by_seat = {
            seat: candidate.incarnation
            for seat, candidate in self._candidates_by_seat.items()
            if now.monotonic_ms - candidate.received_ms <= CANDIDATE_TTL_MS
        }
        by_seat[self._own_seat] = own_incarnation
        return tuple(SeatIncarnation(seat, by_seat[seat]) for seat in sorted(by_seat))

    def try_vote(self, own_incarnation: Incarnation, now: Moment) -> bool:
        """Vote if every seat is present and lists the same candidates.

        Returns whether this call cast the vote.
        """
        candidates = self.candidates(own_incarnation, now)
        if self.members is not None or len(candidates) != len(self._seats):
            return False
        if any(
            candidate.candidates != candidates
            for candidate in self._candidates_by_seat.values()
        ):
            return False
        self.members = candidates
        self._voters.add(self._own_seat)
        return True

    def add_vote(self, vote: FoundingVote) -> bool:
        """Add the votes that another seat has received; return whether any is new.

        Votes for other members than those of this occupant's own vote are ignored.
        """
        if vote.members != self.members or self._voters.issuperset(vote.voters):
            return False
        self._voters.update(vote.voters)
        return True

    def is_unanimous(self) -> bool:
        """Return whether every seat has voted for the same members."""
        return self.members is not None and len(self._voters) == len(self._seats)

    def vote(self, generation: GenerationNumber) -> FoundingVote | None:
        """Return this occupant's vote and all others that it knows of."""
        if self.members is None:
            return None
        return FoundingVote(generation, self.members, tuple(sorted(self._voters)))
