"""Compares static shares, lending and one pooled queue under uneven load.

Five hosts, five warm runners, one host gets most requests. Virtual time, no
sockets: ``python -m benchmarks.slot_lending [seed]``.
"""

import random
import statistics
import sys

from tests.slots.cell_simulation import Cell

RUNNERS = 5
LIMIT = 16
HOT_SHARE = 0.6
LOAD = 0.85
WARM_UP_MS = 15_000
MEASURED_MS = 60_000
MEAN_RUN_MS = 1_975


def arrive(cell: Cell, source: random.Random) -> None:
    """Let one request arrive and schedule the next; the same in all variants."""
    is_hot = source.random() < HOT_SHARE
    seat = 0 if is_hot else source.randrange(1, 5)
    cell.hosts[seat % cell.seats].add_requests()
    per_ms = LOAD * RUNNERS * LIMIT / MEAN_RUN_MS
    cell.after(0.5 + source.expovariate(per_ms), arrive, cell, source)


def measure(name: str, seed: int, hosts: int, lends: bool) -> None:
    """Run one variant and print its line."""
    cell = Cell(seed, hosts, RUNNERS, limit=LIMIT)
    cell.lends = lends
    for runner in cell.runners.values():
        runner.completed = 1_000
    arrive(cell, random.Random(seed))
    cell.run(WARM_UP_MS)
    for host in cell.hosts:
        host.waits_ms.clear()
    cell.messages = 0
    cell.run(MEASURED_MS)
    waits_ms = sorted(wait for host in cell.hosts for wait in host.waits_ms)
    waiting = sum(len(host.arrivals_ms) for host in cell.hosts)
    print(
        f"{name:16} started={len(waits_ms)} still_waiting={waiting}"
        f" wait_mean_ms={statistics.mean(waits_ms):.0f}"
        f" wait_p95_ms={waits_ms[int(0.95 * len(waits_ms))]}"
        f" messages_per_request={cell.messages / len(waits_ms):.2f}"
    )


def main() -> None:
    """Print one line for each variant."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    measure("static shares", seed, 5, lends=False)
    measure("lending", seed, 5, lends=True)
    measure("ideal pooling", seed, 1, lends=False)


if __name__ == "__main__":
    main()
