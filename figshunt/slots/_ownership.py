"""Which seat owns which slots of a runner."""

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


def count_slots_at(place: int, limit: int, seats: int) -> int:
    """Return how many slots the seat at this place of the order owns.

    Slot ``i`` belongs to the seat at place ``i`` modulo the number of seats, so
    the slots of all seats add up to ``limit``, and a larger limit never takes
    a slot away from a seat.
    """
    whole, rest = divmod(limit, seats)
    return whole + (1 if place < rest else 0)
