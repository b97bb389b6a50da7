"""The latest known occupant of each seat."""

from collections.abc import Iterable

from figshunt.types import Incarnation, SeatIncarnation, SeatNumber


class KnownIncarnations:
    """Maps each seat to its latest known incarnation."""

    def __init__(self, known: Iterable[SeatIncarnation] = ()) -> None:
        self._by_seat: dict[SeatNumber, Incarnation] = {}
        self._entries: tuple[SeatIncarnation, ...] | None = None
        self.merge(known)

    def get(self, seat: SeatNumber) -> Incarnation | None:
        """Return the latest known occupant of the seat, ``None`` if none is known."""
        return self._by_seat.get(seat)

    def record(self, seat: SeatNumber, incarnation: Incarnation) -> None:
        """Record the incarnation if it is later than the known one."""
        known_incarnation = self._by_seat.get(seat)
        if known_incarnation is None or incarnation > known_incarnation:
            self._by_seat[seat] = incarnation
            self._entries = None

    def merge(self, known: Iterable[SeatIncarnation]) -> None:
        """Record each entry that is later than the known one of its seat."""
        for entry in known:
            self.record(entry.seat, entry.incarnation)

    def is_superseded(self, seat: SeatNumber, incarnation: Incarnation) -> bool:
        """Return whether a later occupant of the seat is known."""
        known_incarnation = self._by_seat.get(seat)
        return known_incarnation is not None and incarnation < known_incarnation

    def entries(self) -> tuple[SeatIncarnation, ...]:
        """Return all entries, sorted by seat."""
        if self._entries is None:
            self._entries = tuple(
                SeatIncarnation(seat, self._by_seat[seat])
                for seat in sorted(self._by_seat)
            )
        return self._entries
