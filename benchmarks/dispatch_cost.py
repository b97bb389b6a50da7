"""CPU time of an entry host's decisions, per call and per stream event.

    python -m benchmarks.dispatch_cost

Measures the core alone, without sockets or encoding. Each call is placed on a
runner, answered with stream events and ended; the time of a call is measured
without events. The time of a status is that of one that tells of a freed place while
calls are held that it doesn't help.
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
    OccupancyNotice,
    PeerStatusReceived,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
    SharedBounds,
    StartCallAttempt,
)
from figshunt.types import (
    DataCentreName,
    HostName,
    ManualClock,
    Moment,
    RunnerId,
    Version,
)
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_prompt,
    build_published_runner,
    build_reply_head,
)

CALL_COUNT = 500
EVENTS_PER_CALL = 50
RUNNER_COUNTS = (5, 45, 128)
STATUS_COUNT = 100
HELD_CALLS = 20
FULL_REQUESTS = 1_000


def build_core(clock: ManualClock, runners: int) -> DispatchCore:
    """Return the core of a host that knows so many runners."""
    core = DispatchCore(
        HostName("h1"), DataCentreName("a"), SharedBounds(), random.Random(1)
    )
    core.handle(SourceStateChanged(True, "benchmark"), clock.now())
    core.handle(
        ConfigurationPublished(Version.of(0, 1), build_configuration()), clock.now()
    )
    for number in range(runners):
        runner = build_published_runner(f"e{number}")
        core.handle(
            RunnerListed(Version.of(0, 2 + number), runner.runner_id, runner),
            clock.now(),
        )
    return core


def measure_status(runners: int) -> float:
    """Return the CPU time per status while calls are held, in microseconds."""
    clock = ManualClock(Moment(100_000, 0))
    core = build_core(clock, runners)
    for number in range(runners):
        notice = OccupancyNotice(RunnerId(f"e{number}"), 0, FULL_REQUESTS, 0)
        status = build_host_status("h2", occupancies=(notice,))
        core.handle(PeerStatusReceived(status), clock.now())
    for number in range(HELD_CALLS):
        call = build_call(
            f"r{number}", prompt=build_prompt(3_000), received=clock.now()
        )
        core.handle(CallArrived(call), clock.now())
    started_ns = time.process_time_ns()
    for number in range(STATUS_COUNT):
        now = clock.advance(1)
        notice = OccupancyNotice(RunnerId("e0"), 9, STATUS_COUNT - number, 0)
        status = build_host_status("h2", occupancies=(notice,))
        core.handle(PeerStatusReceived(status), now)
    return (time.process_time_ns() - started_ns) / 1_000 / STATUS_COUNT


def measure(runners: int, events: int) -> float:
    """Return the CPU time per call with ``events`` stream events, in microseconds."""
    clock = ManualClock(Moment(100_000, 0))
    core = build_core(clock, runners)
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
    statuses_us = [f"{measure_status(runners):.0f}" for runners in RUNNER_COUNTS]
    figures.append(f"status while calls are held: {', '.join(statuses_us)} us")
    print("; ".join(figures))


if __name__ == "__main__":
    main()
