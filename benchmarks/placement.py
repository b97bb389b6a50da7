"""Fixed slots against rendezvous hashing, for placing keys on cells.

Run as ``python -m benchmarks.placement``. Places runners and claim keys on
cells by rendezvous hashing, and by 16,384 fixed slots mapped to cells in even
contiguous ranges (automatic split) or moved one by one (least movement), and
prints evenness and the part that moves when one cell is added.
"""

import time
from collections import Counter
from collections.abc import Callable, Sequence

import xxhash

CELLS = 66
SLOTS = 16_384
ITEM_COUNTS = {"runners": 2_100, "claim_keys": 20_000}

Placement = Callable[[str], int]


def place_by_rendezvous(cells: int) -> Placement:
    """Return a placement by the highest hash of item and cell."""

    def place(item: str) -> int:
        return max(
            range(cells),
            key=lambda cell: xxhash.xxh64_intdigest(f"{item}/{cell}".encode()),
        )

    return place


def place_by_slots(cells_by_slot: Sequence[int]) -> Placement:
    """Return a placement by hash to a slot and a map from slots to cells."""

    def place(item: str) -> int:
        return cells_by_slot[xxhash.xxh64_intdigest(item.encode()) % SLOTS]

    return place


def split_evenly(cells: int) -> list[int]:
    """Return contiguous ranges of slots, as even as possible."""
    return [slot * cells // SLOTS for slot in range(SLOTS)]


def move_least(cells_by_slot: Sequence[int], new_cell: int) -> list[int]:
    """Return the map after a new cell took an equal part of every other."""
    moved = list(cells_by_slot)
    share = SLOTS // (new_cell + 1)
    counts = Counter(cells_by_slot)
    for _ in range(share):
        fullest = max(counts, key=lambda cell: (counts[cell], -cell))
        counts[fullest] -= 1
        moved[moved.index(fullest)] = new_cell
    return moved


def measure(
    name: str, items: Sequence[str], before: Placement, after: Placement
) -> None:
    """Print evenness and movement of one scheme."""
    started = time.process_time()
    cells_before = [before(item) for item in items]
    place_us = 1e6 * (time.process_time() - started) / len(items)
    cells_after = [after(item) for item in items]
    moved = sum(one != other for one, other in zip(cells_before, cells_after))
    counts = Counter(cells_before)
    mean = len(items) / CELLS
    print(
        f"{name} items={len(items)} largest/mean={max(counts.values()) / mean:.2f}"
        f" smallest/mean={min(counts.get(cell, 0) for cell in range(CELLS)) / mean:.2f}"
        f" moved={100 * moved / len(items):.2f}% ideal={100 / (CELLS + 1):.2f}%"
        f" place_us={place_us:.1f}"
    )


def main() -> None:
    """Print one line for each scheme and kind of item."""
    even = split_evenly(CELLS)
    for kind, count in ITEM_COUNTS.items():
        items = [f"{kind}-{number}" for number in range(count)]
        measure(
            f"rendezvous {kind}",
            items,
            place_by_rendezvous(CELLS),
            place_by_rendezvous(CELLS + 1),
        )
        measure(
            f"slots_auto_split {kind}",
            items,
            place_by_slots(even),
            place_by_slots(split_evenly(CELLS + 1)),
        )
        measure(
            f"slots_least_move {kind}",
            items,
            place_by_slots(even),
            place_by_slots(move_least(even, CELLS)),
        )


if __name__ == "__main__":
    main()
