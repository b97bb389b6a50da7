"""CPU time of a slot decision at 4, 32 and 128 runners.

Run as ``python -m benchmarks.slot_cost``. One decision consists of the check for a
free slot, the release of a request and the end of its attempt in the filter pipeline
that the tests use. The baseline in the same run is the choice of a runner alone, which
examines every runner with a free slot. Also measures one load report and one timer.
"""

import itertools
import random
import time

from figshunt.policy import LeastLoaded, RunnerCandidate
from figshunt.types import AttemptEnded, RunnerId, TimerDue
from tests.builders import build_load_reported
from tests.slots.cell_simulation import POOL
from tests.slots.host_harness import SlotHostHarness

REPETITIONS = 5_000


def measure(runners: int) -> None:
    """Print one line of figures for a number of runners."""
    host = SlotHostHarness(runners=runners, limit=16, cold_limit=4)
    for number in range(runners):
        host.handle_message(build_load_reported(RunnerId(f"engines-{number + 1}")))
    capacity = host.start(100_000)
    full_us = _time_us(lambda: host.slots.has_free_slot(POOL, host.now))
    for planned in host.planned[: capacity // 2]:
        host.end(planned)
    free_us = _time_us(lambda: host.slots.has_free_slot(POOL, host.now))

    def run_decision() -> None:
        host.start(1)
        planned = host.planned.pop()
        host.handle_message(
            AttemptEnded(
                planned.attempt_id, planned.runner_id, planned.routed, 0, 0, None
            )
        )

    reports = itertools.cycle(
        build_load_reported(RunnerId(f"engines-{number + 1}"))
        for number in range(runners)
    )
    report_us = _time_us(lambda: host.handle_message(next(reports)))
    timer_us = _time_us(lambda: host.handle_message(TimerDue()))
    candidates = [
        RunnerCandidate(RunnerId(f"engines-{number}"), number % 16, 0, 16)
        for number in range(runners)
    ]
    chooser = LeastLoaded(random.Random(1))
    routed = host.planned[0].routed
    choose_us = _time_us(lambda: chooser.choose(routed, candidates))
    print(
        f"runners={runners:4} has_slot_full_us={full_us:.2f}"
        f" has_slot_free_us={free_us:.2f} start_and_end_us={_time_us(run_decision):.1f}"
        f" choose_alone_us={choose_us:.1f} report_us={report_us:.1f}"
        f" timer_us={timer_us:.1f}"
    )


def _time_us(call: object) -> float:
    assert callable(call)
    started_s = time.process_time()
    for _ in range(REPETITIONS):
        call()
    return (time.process_time() - started_s) / REPETITIONS * 1e6


def main() -> None:
    """Print one line of figures for each number of runners."""
    for runners in (4, 32, 128):
        measure(runners)


if __name__ == "__main__":
    main()
