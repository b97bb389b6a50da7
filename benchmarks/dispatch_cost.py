"""CPU time of an entry host's decisions, per call and per stream event.

    python -m benchmarks.dispatch_cost

Measures the core alone, without sockets or encoding. Each call is placed on a
runner, answered with stream events and ended; the time of a call is measured
without events.
"""

import random
import time

from figshunt.directory import (
    ConfigurationPublished,
    RunnerListed,
    SourceStateChanged,
)
from figshunt.dispatch import (
    CallArrived,
    DispatchCore,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
    SharedBounds,
    StartCallAttempt,
)
from figshunt.types import DataCentreName, HostName, ManualClock, Moment
from tests.builders import (
    build_call,
    build_configuration,
    build_prompt,
    build_published_runner,
    build_reply_head,
)

CALL_COUNT = 500
EVENTS_PER_CALL = 50
RUNNER_COUNTS = (5, 45, 128)


def measure(runners: int, events: int) -> float:
    """Return the CPU time per call with ``events`` stream events, in microseconds."""
    core = DispatchCore(
        HostName("h1"), DataCentreName("a"), SharedBounds(), random.Random(1)
    )
    clock = ManualClock(Moment(100_000, 0))
    core.handle(SourceStateChanged(True, "benchmark"), clock.now())
    core.handle(ConfigurationPublished(1, build_configuration()), clock.now())
    for number in range(runners):
        runner = build_published_runner(f"e{number}")
        core.handle(RunnerListed(2 + number, runner.runner_id, runner), clock.now())
    head = build_reply_head(is_stream=True)
    started_ns = time.process_time_ns()
    for number in range(CALL_COUNT):
        now = clock.advance(20)
        prompt = build_prompt(
            3_000, (f"a{number % 4}", 1_000), (f"b{number % 40}", 500)
        )
        call = build_call(f"r{number}", prompt=prompt, received=now)
        effects = core.handle(CallArrived(call), now)
        (attempt,) = [
            effect for effect in effects if isinstance(effect, StartCallAttempt)
        ]
        core.handle(ReplyStarted(attempt.attempt_id, head), now)
        for event in range(events):
            core.handle(ReplyEvent(attempt.attempt_id, event, b"id: 1\n\n"), now)
        core.handle(ReplyEnded(attempt.attempt_id), now)
    return (time.process_time_ns() - started_ns) / 1_000 / CALL_COUNT


def main() -> None:
    """Print one line of figures."""
    baseline_us = measure(RUNNER_COUNTS[0], 0)
    figures = [f"call, {RUNNER_COUNTS[0]} runners: {baseline_us:.0f} us"]
    for runners in RUNNER_COUNTS[1:]:
        call_us = measure(runners, 0)
        figures.append(
            f"{runners} runners: {call_us:.0f} us ({call_us / baseline_us:.1f} x)"
        )
    event_us = (
        measure(RUNNER_COUNTS[0], EVENTS_PER_CALL) - baseline_us
    ) / EVENTS_PER_CALL
    figures.append(f"event: {event_us:.1f} us")
    print("; ".join(figures))


if __name__ == "__main__":
    main()
