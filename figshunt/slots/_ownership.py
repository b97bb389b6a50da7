"""Ownership of the slots of a runner by the seats of the cell."""

from functools import lru_cache

import xxhash

from figshunt.types import RunnerId, SeatNumber


@lru_cache(maxsize=4096)
def order_seats(
    runner_id: RunnerId, seats: tuple[SeatNumber, ...]
) -> tuple[SeatNumber, ...]:
    """Return the seats in the runner's rendezvous hashing order."""
    return tuple(
        sorted(
            seats,
            key=lambda seat: xxhash.xxh64_intdigest(f"{runner_id}/{seat}".encode()),
        )
    )


def count_owned_slots(rank: int, limit: int, seats: int) -> int:
    """Return how many slots the seat at this rank of the order owns.

    Slot ``i`` belongs to the seat at rank ``i`` modulo the number of seats. The
    slots of all seats thus add up to ``limit``, and a higher limit never takes
    a slot away from a seat.
    """
    quotient, remainder = divmod(limit, seats)
    return quotient + (1 if rank < remainder else 0)
