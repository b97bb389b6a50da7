"""Requests behind the end of a stream, at any moment of a stop of a cell's daemon."""

import asyncio
import random
import signal
import unittest
from collections.abc import Callable, Sequence

from tests.harness import (
    ACCEPT_S,
    Ending,
    NextRequestCallers,
    build_stream_path,
)
from tests.integration.cell_case import NOT_RUN_STATUS, CellCase, build_call

SEED = 46
CHANNELS = 150

# The daemon waits for open streams after it has stopped listening.
STOP_S = (0.1, ACCEPT_S + 2.4)
NEXT_REQUEST_DELAYS_S = (0.0, 0.003, 0.02)
MAX_UNANSWERED_SHARE = 1 / 50

# Bytes that come and timers that are due while a process isn't scheduled are handled
# in one turn of its event loop.
CLOSE_S = (ACCEPT_S - 0.1, ACCEPT_S + 0.7)
PAUSE_S = 0.024
PAUSE_INTERVAL_S = 0.040


def build_stream(request_id: str, end_s: float) -> bytes:
    return build_call(request_id, path=build_stream_path("", end_s))


class CellNextRequestsTest(CellCase):
    async def test_next_requests_are_answered_at_any_moment_of_a_stop(self) -> None:
        """Guards against a close right behind a response that didn't announce it."""
        rng = random.Random(SEED)
        schedule = [
            (rng.uniform(*STOP_S), NEXT_REQUEST_DELAYS_S[number % 3])
            for number in range(CHANNELS)
        ]
        await self.play(lambda: self.process.signal(signal.SIGTERM), schedule)

    async def test_no_request_is_passed_on_whose_channel_is_closed(self) -> None:
        """Guards against a close that is decided before a request and done after it."""
        rng = random.Random(SEED)
        schedule = [
            (rng.uniform(*CLOSE_S), rng.uniform(0.0, PAUSE_INTERVAL_S))
            for _ in range(CHANNELS)
        ]

        def stop() -> None:
            loop = asyncio.get_running_loop()
            self.process.signal(signal.SIGTERM)
            pause_s = CLOSE_S[0]
            while pause_s < CLOSE_S[1]:
                loop.call_later(pause_s, self.fleet.pause, 0)
                loop.call_later(pause_s + PAUSE_S, self.fleet.resume, 0)
                pause_s += PAUSE_INTERVAL_S

        await self.play(stop, schedule)

    async def play(
        self, stop: Callable[[], None], schedule: Sequence[tuple[float, float]]
    ) -> None:
        callers = NextRequestCallers(
            self.daemon.caller_port, build_stream, build_call, random.Random(SEED)
        )
        exchanges = await callers.play(stop, schedule)
        self.assertEqual(0, await self.process.wait())
        self.assertLess(CHANNELS / 2, len(exchanges) - len(callers.late_ids))
        self.assertEqual([], list(map(str, self.get_passed_on(exchanges))))
        unanswered = [
            str(exchange)
            for exchange in exchanges
            if exchange.ending is not Ending.ANSWERED
            and exchange.request_id not in callers.late_ids
        ]
        limit = MAX_UNANSWERED_SHARE * len(exchanges)
        self.assertLessEqual(len(unanswered), limit, unanswered)
        for exchange in exchanges:
            self.assertIn(exchange.status, (None, 200, NOT_RUN_STATUS))
            if exchange.status == 200:
                self.assertIn(f"/{exchange.request_id}", self.service.paths)


if __name__ == "__main__":
    unittest.main()
