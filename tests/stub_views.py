"""Stub views of control filters, for tests of the filters that use them."""

from figshunt.tables import Tables
from figshunt.types import Moment, SeatNumber


class StubTables:
    """A stub ``TablesView`` that returns the tables assigned to ``tables``."""

    def __init__(self, tables: Tables | None = None) -> None:
        self.tables = tables

    def current(self) -> Tables | None:
        return self.tables


class StubSeats:
    """A stub ``SeatsView``; tests set ``heard_ms`` and ``draining``.

    A seat counts as reachable for 3 s after its time in ``heard_ms``, on the
    monotonic clock. The own seat is always reachable.
    """

    def __init__(self, own_seat: int = 0, seats: int = 5) -> None:
        self.own_seat = SeatNumber(own_seat)
        self.seats = tuple(SeatNumber(seat) for seat in range(seats))
        self.heard_ms: dict[SeatNumber, int] = {}
        self.draining: set[SeatNumber] = set()

    def is_heard(self, seat: SeatNumber, now: Moment) -> bool:
        heard_ms = self.heard_ms.get(seat, -10_000)
        return seat == self.own_seat or now.monotonic_ms - heard_ms <= 3_000

    def hears_majority(self, now: Moment) -> bool:
        reachable_seats = sum(self.is_heard(seat, now) for seat in self.seats)
        return reachable_seats > len(self.seats) // 2

    def is_draining(self, seat: SeatNumber) -> bool:
        return seat in self.draining
