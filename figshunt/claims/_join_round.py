"""Collects the answers to one occupant's wish to join its cell."""

from dataclasses import dataclass, field

from figshunt.claims._known_incarnations import KnownIncarnations
from figshunt.types import Incarnation, JoinReply, SeatNumber


@dataclass(slots=True)
class SeatReply:
    """The parts of one reply that have arrived so far."""

    sender: Incarnation
    snapshot: int
    missing: set[int] = field(default_factory=set)


class JoinRound:
    """Counts the seats that recorded one incarnation and told all they know."""

    def __init__(self) -> None:
        self._replies_by_seat: dict[SeatNumber, SeatReply] = {}

    def add(self, seat: SeatNumber, reply: JoinReply) -> None:
        """Add one part of an accepting reply."""
        held = self._replies_by_seat.get(seat)
        if held is not None and self._is_kept(held, reply):
            return
        if held is None or (held.sender, held.snapshot) != (
            reply.sender,
            reply.snapshot,
        ):
            held = SeatReply(reply.sender, reply.snapshot, set(range(reply.parts)))
            self._replies_by_seat[seat] = held
        held.missing.discard(reply.part)

    def count(self, known: KnownIncarnations) -> int:
        """Return how many seats told everything.

        A reply of an occupant that was superseded in the meantime doesn't
        count: it may be the only one that recorded this joiner in its seat.
        """
        return sum(
            not reply.missing and not known.is_superseded(seat, reply.sender)
            for seat, reply in self._replies_by_seat.items()
        )

    def _is_kept(self, held: SeatReply, reply: JoinReply) -> bool:
        """Return whether the held reply is better than the one arriving."""
        if reply.sender != held.sender:
            return reply.sender < held.sender
        return not held.missing or reply.snapshot < held.snapshot
