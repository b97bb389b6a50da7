"""Processor time of an entry host's decisions, for each call and event.

    python -m benchmarks.dispatch_cost

The core alone: no socket and no encoding. A call is placed, answered with
events and ended; the time without events is that of the call.
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

CALLS = 500
EVENTS = 50
RUNNERS = (5, 45, 128)


def measure(runners: int, events: int) -> float:
    """Return microseconds for each call with ``events`` events."""
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
    started = time.process_time_ns()
    for number in range(CALLS):
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
    return (time.process_time_ns() - started) / 1_000 / CALLS


def main() -> None:
    """Print one line of figures."""
    base_us = measure(RUNNERS[0], 0)
    parts = [f"call, {RUNNERS[0]} runners: {base_us:.0f} us"]
    for runners in RUNNERS[1:]:
        one_us = measure(runners, 0)
        parts.append(f"{runners} runners: {one_us:.0f} us ({one_us / base_us:.1f} x)")
    event_us = (measure(RUNNERS[0], EVENTS) - base_us) / EVENTS
    parts.append(f"event: {event_us:.1f} us")
    print("; ".join(parts))


if __name__ == "__main__":
    main()
