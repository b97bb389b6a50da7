"""Time until a revision is in force in three real daemon processes.

Run as ``python -m benchmarks.revision_spread_processes``. Each run starts a
new fleet, brings about a fault at the reader, publishes a revision and waits
until every daemon but the faulty one has it in force. Polling adds up to
20 ms.
"""

import asyncio
import time
from collections.abc import Callable

from tests.builders import build_documents
from tests.harness import Fleet

RUNS = 4
LIMIT_S = 30.0
POLL_S = 0.02


def _do_nothing(_fleet: Fleet) -> None:
    return


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
    """Return milliseconds from publishing to in force."""
    break_fleet, seats = FAULTS[name]
    async with Fleet(build_documents(1)) as fleet, asyncio.timeout(LIMIT_S):
        await asyncio.sleep(1.5)
        break_fleet(fleet)
        started_s = time.monotonic()
        fleet.publish(build_documents(2))
        for seat in seats:
            while (await fleet.fetch_status(seat))["revision"] != 2:
                await asyncio.sleep(POLL_S)
        return (time.monotonic() - started_s) * 1_000


async def main() -> None:
    """Print one line for each fault."""
    for name in FAULTS:
        times_ms = sorted([await measure(name) for _ in range(RUNS)])
        listed = ",".join(f"{value:.0f}" for value in times_ms)
        print(f"fault={name!r} runs={RUNS} times_ms={listed}")


if __name__ == "__main__":
    asyncio.run(main())
