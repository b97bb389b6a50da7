"""Propagation time of a table revision in three daemon processes.

Run as ``python -m benchmarks.revision_spread_processes``. Each run starts a new fleet,
injects a fault at the table reader, publishes a revision and waits until it is in force
at every daemon that the fault allows to receive it. Polling adds up to 20 ms.
"""

import asyncio
import time
from collections.abc import Callable

from tests.builders import build_documents
from tests.harness import Fleet

RUN_COUNT = 4
PROPAGATION_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.02


def _do_nothing(_fleet: Fleet) -> None:
    return


# For each fault: the function that injects it, and the seats that must have the new
# revision in force.
FAULTS: dict[str, tuple[Callable[[Fleet], None], tuple[int, ...]]] = {
    "none": (_do_nothing, (0, 1, 2)),
    "reader paused": (lambda fleet: fleet.pause(0), (1, 2)),
    "reader cut off from peers": (lambda fleet: fleet.partition([0]), (1, 2)),
    "reader's service refuses": (
        lambda fleet: fleet.configuration_proxies[0].cut(),
        (0, 1, 2),
    ),
    "reader's service hangs": (
        lambda fleet: fleet.configuration_proxies[0].freeze(),
        (0, 1, 2),
    ),
}


async def measure(name: str) -> float:
    """Return the propagation time of one run in milliseconds."""
    inject_fault, seats = FAULTS[name]
    async with Fleet(build_documents(1)) as fleet, asyncio.timeout(PROPAGATION_LIMIT_S):
        await asyncio.sleep(1.5)
        inject_fault(fleet)
        started_s = time.monotonic()
        fleet.publish(build_documents(2))
        for seat in seats:
            while (await fleet.fetch_status(seat))["revision"] != 2:
                await asyncio.sleep(POLL_INTERVAL_S)
        return (time.monotonic() - started_s) * 1_000


async def main() -> None:
    """Print one line of figures for each fault."""
    for name in FAULTS:
        times_ms = sorted([await measure(name) for _ in range(RUN_COUNT)])
        time_figures = ",".join(f"{value:.0f}" for value in times_ms)
        print(f"fault={name!r} runs={RUN_COUNT} times_ms={time_figures}")


if __name__ == "__main__":
    asyncio.run(main())
