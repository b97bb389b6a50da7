"""Processor time of the core alone, by request and by streamed token.

Run as ``python -m benchmarks.core_cost``. The baseline is the time to make
the same messages without handling them.
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

REQUESTS = 2_000
TOKEN_COUNTS = (0, 50, 200)
RUNNER_COUNTS = (4, 32, 128)


def build_core(runners: int, clock: ManualClock) -> Core:
    """Return a core of one seat with warm runners."""
    seat = SeatNumber(0)
    core = Core(HostName("host-0"), seat, (seat,), random.Random(1))
    core.handle(build_tables_received(pools=[build_pool(runners=runners)]), clock.now())
    for number in range(1, runners + 1):
        core.handle(build_load_reported(f"engines-{number}"), clock.now())
    return core


def run_requests(core: Core, clock: ManualClock, tokens: int, handle: bool) -> float:
    """Return seconds of processor time for all requests."""
    started = time.process_time()
    handle_message: Callable[[Message], list[object]] = (
        (lambda message: list(core.handle(message, clock.now())))
        if handle
        else (lambda message: [])
    )
    for number in range(REQUESTS):
        arrival = build_request_arrived(clock.now(), number)
        effects = handle_message(arrival)
        starts = [one for one in effects if isinstance(one, StartAttempt)]
        attempt_id = starts[0].attempt_id if starts else arrival.request.request_id
        handle_message(AnswerHead(attempt_id, 200, "text/event-stream"))
        for offset in range(tokens):
            handle_message(AttemptChunk(attempt_id, b"x", 1, offset))
        handle_message(AttemptFinished(attempt_id, tokens))
    return time.process_time() - started


def main() -> None:
    """Print one line for each number of runners."""
    for runners in RUNNER_COUNTS:
        clock = ManualClock()
        core = build_core(runners, clock)
        seconds = [
            run_requests(core, clock, tokens, True)
            - run_requests(core, clock, tokens, False)
            for tokens in TOKEN_COUNTS
        ]
        request_us = 1e6 * seconds[0] / REQUESTS
        added_tokens = REQUESTS * (TOKEN_COUNTS[-1] - TOKEN_COUNTS[0])
        token_us = 1e6 * (seconds[-1] - seconds[0]) / added_tokens
        print(f"runners={runners} request_us={request_us:.1f} token_us={token_us:.2f}")


if __name__ == "__main__":
    main()
