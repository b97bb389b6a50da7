"""CPU time of the core alone, per request and per streamed token.

Run as ``python -m benchmarks.core_cost``. The time to build the same messages
without processing them is measured as the baseline and subtracted.
"""

import random
import time
from collections.abc import Callable

from figshunt.core import Core
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFinished,
    HostName,
    ManualClock,
    Message,
    SeatNumber,
    StartAttempt,
)
from tests.builders import (
    build_load_reported,
    build_pool,
    build_request_arrived,
    build_tables_received,
)

REQUEST_COUNT = 2_000
TOKEN_COUNTS = (0, 50, 200)
RUNNER_COUNTS = (4, 32, 128)


def build_core(runners: int, clock: ManualClock) -> Core:
    """Return the core of a single-seat cell with warm runners."""
    seat = SeatNumber(0)
    core = Core(HostName("host-0"), seat, (seat,), random.Random(1))
    core.handle(build_tables_received(pools=[build_pool(runners=runners)]), clock.now())
    for number in range(1, runners + 1):
        core.handle(build_load_reported(f"engines-{number}"), clock.now())
    return core


def run_requests(core: Core, clock: ManualClock, tokens: int, with_core: bool) -> float:
    """Return the CPU time in seconds of all requests.

    Messages are only built, not processed, if ``with_core`` is false.
    """
    started_s = time.process_time()
    process_message: Callable[[Message], list[object]] = (
        (lambda message: list(core.handle(message, clock.now())))
        if with_core
        else (lambda message: [])
    )
    for number in range(REQUEST_COUNT):
        arrival = build_request_arrived(clock.now(), number)
        effects = process_message(arrival)
        starts = [effect for effect in effects if isinstance(effect, StartAttempt)]
        attempt_id = starts[0].attempt_id if starts else arrival.request.request_id
        process_message(AnswerHead(attempt_id, 200, "text/event-stream"))
        for offset in range(tokens):
            process_message(AttemptChunk(attempt_id, b"x", 1, offset))
        process_message(AttemptFinished(attempt_id, tokens))
    return time.process_time() - started_s


def main() -> None:
    """Print one line of figures for each number of runners."""
    for runners in RUNNER_COUNTS:
        clock = ManualClock()
        core = build_core(runners, clock)
        times_s = [
            run_requests(core, clock, tokens, True)
            - run_requests(core, clock, tokens, False)
            for tokens in TOKEN_COUNTS
        ]
        request_us = 1e6 * times_s[0] / REQUEST_COUNT
        token_count = REQUEST_COUNT * (TOKEN_COUNTS[-1] - TOKEN_COUNTS[0])
        token_us = 1e6 * (times_s[-1] - times_s[0]) / token_count
        print(f"runners={runners} request_us={request_us:.1f} token_us={token_us:.2f}")


if __name__ == "__main__":
    main()
