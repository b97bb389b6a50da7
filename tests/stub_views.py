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
    """A stub ``SeatsView``; tests set ``last_contact_ms_by_seat`` and ``draining``.

    A seat counts as reachable for 3 s after its time in ``last_contact_ms_by_seat``,
    on the monotonic clock. The own seat is always reachable.
    """

    def __init__(self, own_seat: int = 0, seats: int = 5) -> None:
        self.own_seat = SeatNumber(own_seat)
        self.seats = tuple(SeatNumber(seat) for seat in range(seats))
        self.last_contact_ms_by_seat: dict[SeatNumber, int] = {}
        self.draining: set[SeatNumber] = set()

    def is_reachable(self, seat: SeatNumber, now: Moment) -> bool:
        last_contact_ms = self.last_contact_ms_by_seat.get(seat, -10_000)
        return seat == self.own_seat or now.monotonic_ms - last_contact_ms <= 3_000

    def has_quorum(self, now: Moment) -> bool:
        reachable_seats = sum(self.is_reachable(seat, now) for seat in self.seats)
        return reachable_seats > len(self.seats) // 2

    def is_draining(self, seat: SeatNumber) -> bool:
        return seat in self.draining
