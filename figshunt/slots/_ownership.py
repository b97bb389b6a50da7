"""Which seat owns which slots of a runner."""

from collections.abc import Sequence
from functools import lru_cache

import xxhash

from figshunt.types import RunnerId, SeatNumber


@lru_cache(maxsize=4096)
def order_seats(
    runner_id: RunnerId, seats: tuple[SeatNumber, ...]
) -> tuple[SeatNumber, ...]:
    """Return the seats in the runner's rendezvous order."""
    return tuple(
        sorted(
            seats,
            key=lambda seat: xxhash.xxh64_intdigest(f"{runner_id}/{seat}".encode()),
        )
    )


def count_owned_slots(
    runner_id: RunnerId, limit: int, seat: SeatNumber, seats: Sequence[SeatNumber]
) -> int:
    """Return how many of the runner's slots the seat owns.

    Slot ``i`` belongs to the seat at place ``i`` modulo the number of seats
    in the runner's order, so the owned slots of all seats add up to
    ``limit`` and a larger limit never takes a slot away from a seat.
    """
    place = order_seats(runner_id, tuple(seats)).index(seat)
    return count_slots_at(place, limit, len(seats))


def count_slots_at(place: int, limit: int, seats: int) -> int:
    """Return how many slots the seat at this place of the order owns."""
    whole, rest = divmod(limit, seats)
    return whole + (1 if place < rest else 0)
