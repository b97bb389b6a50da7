"""Processor time and memory of daemons without traffic: the cost of control.

Run as ``python -m benchmarks.idle_cost``. Starts a cell of processes for each
number of seats and of runners, waits until the start is over, and prints what
each daemon used while nothing but control ran. Figures are means over the
daemons.
"""

import asyncio
import os
import sys
from pathlib import Path

import defopt

from figshunt.standins import EngineProfile, ModelEngine
from tests.builders import build_documents, build_pool, build_runner
from tests.harness import Fleet, create_seeded_random

CASES = ((3, 4), (5, 4), (5, 16), (5, 32))
START_S = 8.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
UTIME_FIELD = 11
STIME_FIELD = 12


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(") ")[2].split()
    return (int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])) / TICKS_PER_S


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    statm = Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(statm.split()[1]) * PAGE_BYTES


async def measure(seats: int, runners: int, seconds: float) -> str:
    """Return one line of figures for one cell."""
    random_source = create_seeded_random(1)
    engines = [ModelEngine(EngineProfile(), random_source) for _ in range(runners)]
    for engine in engines:
        await engine.start()
    entries = [
        build_runner(f"engine-{number}", engine.url)
        for number, engine in enumerate(engines)
    ]
    documents = build_documents(pools=[build_pool("engines", entries)])
    try:
        async with Fleet(documents, seats=seats) as fleet:
            await asyncio.sleep(START_S)
            pids = [one.process.pid for one in fleet.daemons_by_seat.values()]
            before = [read_cpu_s(pid) for pid in pids]
            await asyncio.sleep(seconds)
            used_s = sum(read_cpu_s(pid) for pid in pids) - sum(before)
            resident = sum(read_resident_bytes(pid) for pid in pids) / len(pids)
    finally:
        for engine in engines:
            await engine.stop()
    core_percent = 100 * used_s / len(pids) / seconds
    return (
        f"seats={seats} runners={runners} core_percent={core_percent:.2f}"
        f" resident_mb={resident / 1e6:.1f}"
    )


def main(*, seconds: float = 15.0) -> int:
    """Print one line for each size of cell.

    :param seconds: how long each cell is measured.
    """
    for seats, runners in CASES:
        print(asyncio.run(measure(seats, runners, seconds)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
