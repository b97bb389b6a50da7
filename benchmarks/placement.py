"""Compares fixed hash slots with rendezvous hashing for placing keys on cells.

Run as ``python -m benchmarks.placement``. Places runners and claim keys on cells by
rendezvous hashing and by 16,384 fixed slots. When a cell is added, the slots are either
split again into even contiguous ranges (automatic split) or moved one by one (least
movement). Prints the evenness and the percentage of items that move.
"""

import time
from collections import Counter
from collections.abc import Callable, Sequence

import xxhash

CELL_COUNT = 66
SLOT_COUNT = 16_384
ITEM_COUNTS = {"runners": 2_100, "claim_keys": 20_000}

PlacementFunction = Callable[[str], int]


def place_by_rendezvous(cells: int) -> PlacementFunction:
    """Return a placement on the cell with the highest hash of item and cell."""

    def place(item: str) -> int:
        return max(
            range(cells),
            key=lambda cell: xxhash.xxh64_intdigest(f"{item}/{cell}".encode()),
        )

    return place


def place_by_slots(cells_by_slot: Sequence[int]) -> PlacementFunction:
    """Return a placement that hashes items to slots and maps slots to cells."""

    def place(item: str) -> int:
        return cells_by_slot[xxhash.xxh64_intdigest(item.encode()) % SLOT_COUNT]

    return place


def split_evenly(cells: int) -> list[int]:
    """Return the cell of each slot, with contiguous ranges of nearly equal size."""
    return [slot * cells // SLOT_COUNT for slot in range(SLOT_COUNT)]


def move_fewest_slots(cells_by_slot: Sequence[int], new_cell: int) -> list[int]:
    """Return the cell of each slot after a new cell has been added.

    The new cell takes slots from the largest cells until it has an equal share.
    """
    new_cells_by_slot = list(cells_by_slot)
    moved_slots = SLOT_COUNT // (new_cell + 1)
    counts = Counter(cells_by_slot)
    for _ in range(moved_slots):
        largest_cell = max(counts, key=lambda cell: (counts[cell], -cell))
        counts[largest_cell] -= 1
        new_cells_by_slot[new_cells_by_slot.index(largest_cell)] = new_cell
    return new_cells_by_slot


def measure(
    name: str, items: Sequence[str], before: PlacementFunction, after: PlacementFunction
) -> None:
    """Print the evenness and the movement of one placement scheme."""
    started_s = time.process_time()
    cells_before = [before(item) for item in items]
    place_us = 1e6 * (time.process_time() - started_s) / len(items)
    cells_after = [after(item) for item in items]
    moved_count = sum(old != new for old, new in zip(cells_before, cells_after))
    counts = Counter(cells_before)
    mean = len(items) / CELL_COUNT
    print(
        f"{name} items={len(items)} largest/mean={max(counts.values()) / mean:.2f}"
        f" smallest/mean="
        f"{min(counts.get(cell, 0) for cell in range(CELL_COUNT)) / mean:.2f}"
        f" moved={100 * moved_count / len(items):.2f}%"
        f" ideal={100 / (CELL_COUNT + 1):.2f}%"
        f" place_us={place_us:.1f}"
    )


def main() -> None:
    """Print one line of figures for each scheme and kind of item."""
    even_cells_by_slot = split_evenly(CELL_COUNT)
    for kind, count in ITEM_COUNTS.items():
        items = [f"{kind}-{number}" for number in range(count)]
        measure(
            f"rendezvous {kind}",
            items,
            place_by_rendezvous(CELL_COUNT),
            place_by_rendezvous(CELL_COUNT + 1),
        )
        measure(
            f"slots_auto_split {kind}",
            items,
            place_by_slots(even_cells_by_slot),
            place_by_slots(split_evenly(CELL_COUNT + 1)),
        )
        measure(
            f"slots_least_move {kind}",
            items,
            place_by_slots(even_cells_by_slot),
            place_by_slots(move_fewest_slots(even_cells_by_slot, CELL_COUNT)),
        )


if __name__ == "__main__":
    main()
