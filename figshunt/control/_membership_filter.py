"""Keeps which seats of the cell are heard."""

from collections.abc import Iterable, Sequence

from figshunt.pipeline import Output
from figshunt.types import (
    Heartbeat,
    Message,
    Moment,
    PeerConnected,
    PeerLost,
    PeerReceived,
    SeatNumber,
    Step,
)

HEARD_WITHIN_MS = 3_000


class MembershipFilter:
    """Owns the times of the last heartbeats and offers a ``SeatsView``."""

    step = Step.MEMBERSHIP
    accepts: tuple[type[Message], ...] = (PeerReceived, PeerConnected, PeerLost)

    def __init__(self, own_seat: SeatNumber, seats: Sequence[SeatNumber]) -> None:
        self._own_seat = own_seat
        self._seats = tuple(seats)
        self._heard_ms_by_seat: dict[SeatNumber, int] = {}
        self._draining: set[SeatNumber] = set()

    @property
    def own_seat(self) -> SeatNumber:
        """Return the seat of this daemon."""
        return self._own_seat

    @property
    def seats(self) -> tuple[SeatNumber, ...]:
        """Return all seats of the cell, in order."""
        return self._seats

    def is_heard(self, seat: SeatNumber, now: Moment) -> bool:
        """Return whether the seat sent a heartbeat recently."""
        if seat == self._own_seat:
            return True
        heard_ms = self._heard_ms_by_seat.get(seat)
        return heard_ms is not None and now.monotonic_ms - heard_ms <= HEARD_WITHIN_MS

    def hears_majority(self, now: Moment) -> bool:
        """Return whether this daemon and those it hears are a majority."""
        heard = sum(self.is_heard(seat, now) for seat in self._seats)
        return heard > len(self._seats) // 2

    def is_draining(self, seat: SeatNumber) -> bool:
        """Return whether the seat's daemon is shutting down."""
        return seat in self._draining

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        if isinstance(message, PeerReceived) and isinstance(message.message, Heartbeat):
            self._heard_ms_by_seat[message.seat] = now.monotonic_ms
            if message.message.draining:
                self._draining.add(message.seat)
            else:
                self._draining.discard(message.seat)
        yield message
