"""Collects the replies to the join request of one occupant."""

from dataclasses import dataclass, field

from figshunt.claims._known_incarnations import KnownIncarnations
from figshunt.types import Incarnation, JoinReply, SeatNumber


@dataclass(slots=True)
class PartialReply:
    """Progress of a reply that arrives in parts."""

    sender: Incarnation
    snapshot: int
    missing: set[int] = field(default_factory=set)


class JoinRound:
    """Counts the seats that recorded an incarnation and sent all their grants."""

    def __init__(self) -> None:
        self._replies_by_seat: dict[SeatNumber, PartialReply] = {}

    def add(self, seat: SeatNumber, reply: JoinReply) -> None:
        """Add one part of an accepting reply."""
        stored_reply = self._replies_by_seat.get(seat)
        if stored_reply is not None and self._takes_precedence(stored_reply, reply):
            return
        if stored_reply is None or (stored_reply.sender, stored_reply.snapshot) != (
            reply.sender,
            reply.snapshot,
        ):
            stored_reply = PartialReply(
                reply.sender, reply.snapshot, set(range(reply.parts))
            )
            self._replies_by_seat[seat] = stored_reply
        stored_reply.missing.discard(reply.part)

    def count(self, known: KnownIncarnations) -> int:
        """Return how many seats have sent a complete reply.

        A reply of an occupant that was superseded in the meantime doesn't
        count: its successor in the seat may not know of this joiner.
        """
        return sum(
            not reply.missing and not known.is_superseded(seat, reply.sender)
            for seat, reply in self._replies_by_seat.items()
        )

    def _takes_precedence(self, stored_reply: PartialReply, reply: JoinReply) -> bool:
        """Return whether the stored reply takes precedence over the new one.

        A later occupant of the seat takes precedence over an earlier one. Of two
        replies of the same occupant, the later snapshot takes precedence unless
        the stored reply is complete.
        """
        if reply.sender != stored_reply.sender:
            return reply.sender < stored_reply.sender
        return not stored_reply.missing or reply.snapshot < stored_reply.snapshot
