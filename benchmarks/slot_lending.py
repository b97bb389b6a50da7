"""Compares static slot shares, slot lending and one shared queue under uneven load.

Run as ``python -m benchmarks.slot_lending [seed]``. Simulates five hosts and five warm
runners in virtual time without sockets; one host receives most of the requests.
"""

import random
import statistics
import sys

from tests.slots.cell_simulation import Cell

RUNNER_COUNT = 5
SLOTS_PER_RUNNER = 16
HOT_HOST_SHARE = 0.6
LOAD = 0.85
WARM_UP_MS = 15_000
MEASUREMENT_MS = 60_000
MEAN_RUN_MS = 1_975


def submit_request_and_schedule_next(cell: Cell, random_source: random.Random) -> None:
    """Submit one request and schedule the next arrival.

    The arrival times depend on the seed only, so that all variants get the same load.
    All variants with five hosts also distribute it over the hosts in the same way.
    """
    is_hot = random_source.random() < HOT_HOST_SHARE
    seat = 0 if is_hot else random_source.randrange(1, 5)
    cell.hosts[seat % cell.seats].add_requests()
    arrivals_per_ms = LOAD * RUNNER_COUNT * SLOTS_PER_RUNNER / MEAN_RUN_MS
    cell.after(
        0.5 + random_source.expovariate(arrivals_per_ms),
        submit_request_and_schedule_next,
        cell,
        random_source,
    )


def measure(name: str, seed: int, hosts: int, lends: bool) -> None:
    """Run one variant and print one line of figures."""
    cell = Cell(seed, hosts, RUNNER_COUNT, limit=SLOTS_PER_RUNNER)
    cell.lends = lends
    for runner in cell.runners.values():
        runner.completed = 1_000
    submit_request_and_schedule_next(cell, random.Random(seed))
    cell.run(WARM_UP_MS)
    for host in cell.hosts:
        host.waits_ms.clear()
    cell.messages = 0
    cell.run(MEASUREMENT_MS)
    waits_ms = sorted(wait for host in cell.hosts for wait in host.waits_ms)
    waiting_count = sum(len(host.arrivals_ms) for host in cell.hosts)
    print(
        f"{name:16} started={len(waits_ms)} still_waiting={waiting_count}"
        f" wait_mean_ms={statistics.mean(waits_ms):.0f}"
        f" wait_p95_ms={waits_ms[int(0.95 * len(waits_ms))]}"
        f" messages_per_request={cell.messages / len(waits_ms):.2f}"
    )


def main() -> None:
    """Print one line of figures for each variant."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    measure("static shares", seed, 5, lends=False)
    measure("lending", seed, 5, lends=True)
    measure("ideal pooling", seed, 1, lends=False)


if __name__ == "__main__":
    main()
