"""Requests behind the end of a stream, at any moment of a planned stop of a host."""

import asyncio
import random
import signal
import unittest

from figshunt.standins import PlatformRunner
from tests.harness import (
    Ending,
    Exchange,
    ManagedProcess,
    NextRequestCallers,
    TimedRunner,
    build_stream_path,
)
from tests.integration.entry_host_case import NOT_RUN_STATUS, EntryHostCase

SEED = 46
CHANNELS = 60

# A host closes the connections that carry no request some time after it has stopped
# listening, 2.6 s after the signal.
CLOSE_S = (2.5, 2.9)

# Bytes that come and timers that are due while a process isn't scheduled are handled
# in one turn of its event loop.
PAUSE_S = 0.024
PAUSE_INTERVAL_S = 0.040

# The grace period ends after 8 s, and open streams are ended 1 s before.
STOP_S = (0.1, 6.9)
STOP_CHANNELS = 150
NEXT_REQUEST_DELAYS_S = (0.0, 0.003, 0.02)
MAX_UNANSWERED_SHARE = 1 / 50


class NextRequestsAroundStopTest(EntryHostCase):
    def build_engine(self) -> PlatformRunner:
        return TimedRunner("e1")

    def build_timed_stream(self, request_id: str, end_s: float) -> bytes:
        return self.build_stream(request_id, path=build_stream_path("/chat", end_s))

    async def test_no_request_is_passed_on_whose_channel_is_closed(self) -> None:
        """Guards against a close that is decided before a request and done after it.

        The pauses of two hosts cover all moments around the close.
        """
        hosts = [await self.start_host(f"front-{number}") for number in (2, 3)]
        results = await asyncio.gather(
            *(
                self.play_with_pauses(*host, number * PAUSE_INTERVAL_S / 2)
                for number, host in enumerate(hosts)
            )
        )
        exchanges = [exchange for result in results for exchange in result]
        self.assertLess(CHANNELS, len(exchanges))
        unanswered_ids = {
            exchange.request_id
            for exchange in exchanges
            if exchange.ending is not Ending.ANSWERED
        }
        self.assertEqual(set(), unanswered_ids & self.run_ids)

    async def test_next_requests_are_answered_at_any_moment_of_a_stop(self) -> None:
        """Guards against a close right behind a response that didn't announce it."""
        rng = random.Random(SEED)
        callers = NextRequestCallers(
            self.port, self.build_timed_stream, self.build_booking, rng
        )
        schedule = [
            (rng.uniform(*STOP_S), NEXT_REQUEST_DELAYS_S[number % 3])
            for number in range(STOP_CHANNELS)
        ]
        exchanges = await callers.play(
            lambda: self.process.signal(signal.SIGTERM), schedule
        )
        self.assertEqual(0, await self.process.wait())
        self.assertLess(STOP_CHANNELS / 2, len(exchanges) - len(callers.late_ids))
        unanswered = [
            exchange
            for exchange in exchanges
            if exchange.ending is not Ending.ANSWERED
            and exchange.request_id not in callers.late_ids
        ]
        self.assertLessEqual(
            len(unanswered),
            MAX_UNANSWERED_SHARE * len(exchanges),
            [str(exchange) for exchange in unanswered],
        )
        for exchange in exchanges:
            self.assertIn(exchange.status, (None, 200, NOT_RUN_STATUS))

    async def play_with_pauses(
        self, process: ManagedProcess, port: int, phase_s: float
    ) -> list[Exchange]:
        rng = random.Random(SEED)
        callers = NextRequestCallers(
            port, self.build_timed_stream, self.build_booking, rng, f"{port}"
        )
        loop = asyncio.get_running_loop()

        def stop() -> None:
            process.signal(signal.SIGTERM)
            pause_s = CLOSE_S[0] + phase_s
            while pause_s < CLOSE_S[1]:
                loop.call_later(pause_s, process.signal, signal.SIGSTOP)
                loop.call_later(pause_s + PAUSE_S, process.signal, signal.SIGCONT)
                pause_s += PAUSE_INTERVAL_S

        schedule = [
            (rng.uniform(*CLOSE_S), rng.uniform(0.0, PAUSE_INTERVAL_S))
            for _ in range(CHANNELS)
        ]
        exchanges = await callers.play(stop, schedule)
        self.assertEqual(0, await process.wait())
        return exchanges


if __name__ == "__main__":
    unittest.main()
