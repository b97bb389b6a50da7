"""Founds an empty cell, unanimously and at most once for each occupant."""

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

CANDIDATE_FRESH_MS = 3_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """An occupant without establishment, and whom it saw as candidates."""

    incarnation: Incarnation
    view: tuple[SeatIncarnation, ...]
    heard_ms: int


class Founding:
    """Follows who is present and votes once every seat sees the same members.

    A vote is final for this occupant and generation: if it could be
    withdrawn, two cells might be founded, each with a majority.
    """

    def __init__(self, own_seat: SeatNumber, seats: tuple[SeatNumber, ...]) -> None:
        self._own_seat = own_seat
        self._seats = seats
        self._candidates_by_seat: dict[SeatNumber, Candidate] = {}
        self._voters: set[SeatNumber] = set()
        self.members: tuple[SeatIncarnation, ...] | None = None

    def hear(self, seat: SeatNumber, request: JoinRequest, now: Moment) -> bool:
        """Note a candidate; return whether it is a new one in its seat."""
        held = self._candidates_by_seat.get(seat)
        if held is not None and request.incarnation < held.incarnation:
            return False
        self._candidates_by_seat[seat] = Candidate(
            request.incarnation, request.candidates, now.monotonic_ms
        )
        return held is None or held.incarnation != request.incarnation

    def view(self, own: Incarnation, now: Moment) -> tuple[SeatIncarnation, ...]:
        """Return the candidates heard recently, this daemon included."""
        by_seat = {
            seat: candidate.incarnation
            for seat, candidate in self._candidates_by_seat.items()
            if now.monotonic_ms - candidate.heard_ms <= CANDIDATE_FRESH_MS
        }
        by_seat[self._own_seat] = own
        return tuple(SeatIncarnation(seat, by_seat[seat]) for seat in sorted(by_seat))

    def try_vote(self, own: Incarnation, now: Moment) -> bool:
        """Vote if all seats are present and see the same; return whether it did."""
        view = self.view(own, now)
        if self.members is not None or len(view) != len(self._seats):
            return False
        if any(one.view != view for one in self._candidates_by_seat.values()):
            return False
        self.members = view
        self._voters.add(self._own_seat)
        return True

    def add_vote(self, vote: FoundingVote) -> bool:
        """Add the votes that another seat has seen; return whether any is new."""
        if vote.members != self.members or self._voters.issuperset(vote.voters):
            return False
        self._voters.update(vote.voters)
        return True

    def is_unanimous(self) -> bool:
        """Return whether every member has voted for the same members."""
        return self.members is not None and len(self._voters) == len(self._seats)

    def vote(self, generation: GenerationNumber) -> FoundingVote | None:
        """Return this occupant's vote with all votes that it has seen."""
        if self.members is None:
            return None
        return FoundingVote(generation, self.members, tuple(sorted(self._voters)))
