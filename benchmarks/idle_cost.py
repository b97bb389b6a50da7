"""CPU time and resident memory of daemons without traffic.

Run as ``python -m benchmarks.idle_cost``. Starts a cell of daemon processes for
each combination of seats and runners, waits until start-up is complete, and prints
the usage while only the control filters are active. Figures are means over the
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

SEAT_AND_RUNNER_COUNTS = ((3, 4), (5, 4), (5, 16), (5, 32))
START_UP_S = 8.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Indexes into the fields of /proc/PID/stat that follow the command name.
UTIME_INDEX = 11
STIME_INDEX = 12


def read_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = stat.rpartition(") ")[2].split()
    return (int(fields[UTIME_INDEX]) + int(fields[STIME_INDEX])) / TICKS_PER_S


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    statm = Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(statm.split()[1]) * PAGE_BYTES


async def measure(seats: int, runners: int, seconds: float) -> str:
    """Measure one cell for ``seconds`` and return one line of figures."""
    random_source = create_seeded_random(1)
    engines = [ModelEngine(EngineProfile(), random_source) for _ in range(runners)]
    for engine in engines:
        await engine.start()
    runner_documents = [
        build_runner(f"engine-{number}", engine.url)
        for number, engine in enumerate(engines)
    ]
    documents = build_documents(pools=[build_pool("engines", runner_documents)])
    try:
        async with Fleet(documents, seats=seats) as fleet:
            await asyncio.sleep(START_UP_S)
            pids = [daemon.process.pid for daemon in fleet.daemons_by_seat.values()]
            cpu_s_before = [read_cpu_s(pid) for pid in pids]
            await asyncio.sleep(seconds)
            used_s = sum(read_cpu_s(pid) for pid in pids) - sum(cpu_s_before)
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
    """Print one line of figures for each size of cell.

    :param seconds: measurement time per cell.
    """
    for seats, runners in SEAT_AND_RUNNER_COUNTS:
        print(asyncio.run(measure(seats, runners, seconds)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
