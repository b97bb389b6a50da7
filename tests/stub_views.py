"""Views of control filters whose state a test sets."""

from figshunt.tables import Tables
from figshunt.types import Moment, SeatNumber


class StubTables:
    """A ``TablesView`` whose tables a test sets."""

    def __init__(self, tables: Tables | None = None) -> None:
        self.tables = tables

    def current(self) -> Tables | None:
        return self.tables


class StubSeats:
    """A ``SeatsView`` that hears whom it was told of in the last 3 s."""

    def __init__(self, own_seat: int = 0, seats: int = 5) -> None:
        self.own_seat = SeatNumber(own_seat)
        self.seats = tuple(SeatNumber(one) for one in range(seats))
        self.heard_ms: dict[SeatNumber, int] = {}
        self.draining: set[SeatNumber] = set()

    def is_heard(self, seat: SeatNumber, now: Moment) -> bool:
        heard_ms = self.heard_ms.get(seat, -10_000)
        return seat == self.own_seat or now.monotonic_ms - heard_ms <= 3_000

    def hears_majority(self, now: Moment) -> bool:
        heard = sum(self.is_heard(one, now) for one in self.seats)
        return heard > len(self.seats) // 2

    def is_draining(self, seat: SeatNumber) -> bool:
        return seat in self.draining
