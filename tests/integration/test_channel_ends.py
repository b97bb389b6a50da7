"""Callers that keep their channels while signals and published items come often."""

import asyncio
import random
import signal
import unittest
from collections.abc import Callable

from aiohttp import web

from figshunt.standins import PlatformRunner
from tests.builders import build_raw_request
from tests.harness import (
    Ending,
    ManagedProcess,
    NextRequestCallers,
    TimedRunner,
    build_stream_path,
    open_raw_caller,
)
from tests.integration.entry_host_case import EntryHostCase

LOOPBACK = "127.0.0.1"
SEED = 47
CHANNELS = 60
NEXT_REQUEST_DELAYS_S = (0.0, 0.003, 0.02)
BOOKING_S = 0.03

# Changes come, and streams end, within this time.
CHANGES_S = 1.5
CHANGE_INTERVAL_S = 0.1

# What comes while a process isn't scheduled is handled in one turn of its event loop.
PAUSE_S = 0.024


class SlowRunner(PlatformRunner):
    async def _run(self, request: web.Request) -> web.StreamResponse:
        await asyncio.sleep(BOOKING_S)
        return await super()._run(request)


class ChannelEndsTest(EntryHostCase):
    """Guards against requests that are passed on and whose channel is then closed."""

    def build_engine(self) -> PlatformRunner:
        return TimedRunner("e1")

    def build_booking_runner(self) -> PlatformRunner:
        return SlowRunner("b1")

    async def test_signals(self) -> None:
        """Plays reloads of valid and invalid settings, and repeated stop signals."""
        stopping, stopping_port = await self.start_host("front-2")
        settings_path = self.directory / "front-1.toml"
        text = settings_path.read_text()
        texts = (text, 'seeds = ["x"', text.replace("seeds = []", 'seeds = ["::1:1"]'))
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

        def reload(number: int) -> None:
            settings_path.write_text(texts[number % 3])
            for _ in range(1 + number % 3):
                self.process.signal(signal.SIGHUP)

        await asyncio.gather(
            self.play(self.process, self.port, reload),
            self.play(
                stopping,
                stopping_port,
                lambda number: stopping.signal(signals[number % 3]),
            ),
        )
        self.assertEqual(0, await stopping.wait())
        await self.process.wait_for_line("event=settings_reloaded")
        await self.process.wait_for_line("event=settings_invalid")

    async def test_published_items(self) -> None:
        """Plays new configurations, and runners that drain, go and come back."""

        def change(number: int) -> None:
            self.change_configuration(number)
            for runner, pool in ((self.engine, "engines"), (self.booking, "bookings")):
                self.change_runner(runner, pool, number)

        await self.play(self.process, self.port, change)

    async def test_negative_chunk_size(self) -> None:
        """Guards against a host whose event loop doesn't go on."""
        caller = await open_raw_caller(LOOPBACK, self.port)
        assert caller is not None
        self.addCleanup(caller.close)
        data = build_raw_request("/book/1", {"Host": "h"}, b"abcdef", chunk_bytes=6)
        data = data.replace(b"\r\n6\r\n", b"\r\n-6\r\n")
        exchange = await caller.exchange("", [data])
        self.assertEqual(400, exchange.status)

    def change_configuration(self, number: int) -> None:
        document = self.document | {"version": 100 + number}
        match number % 8:
            case 1:
                document["routes"] = document["routes"][:1]
                document["services"] = document["services"][:1]
            case 3:
                document["tenants"] = [{"name": "team-b", "apiKeys": ["other"]}]
            case 5:
                document["routes"] = [
                    route | {"prefix": f"/v2{route['prefix']}"}
                    for route in document["routes"]
                ]
        self.store.put("op/config", document)

    def change_runner(self, runner: PlatformRunner, pool: str, number: int) -> None:
        key = f"servers/{runner.runner_id}"
        if number % 3 == 1:
            self.store.delete(key)
            runner.is_leaving = False
            runner.runner_id = f"{pool}-{number}"
            return
        runner.is_leaving = number % 3 == 0
        self.store.put(key, runner.build_store_entry(pool, slots=1_000))

    async def play(
        self, process: ManagedProcess, port: int, change: Callable[[int], None]
    ) -> None:
        """Play callers of a host, which is paused at every other change."""
        rng = random.Random(SEED)
        callers = NextRequestCallers(
            port, self.build_timed_stream, self.build_booking, rng, f"{port}"
        )
        loop = asyncio.get_running_loop()

        def start_changes() -> None:
            for number in range(int(CHANGES_S / CHANGE_INTERVAL_S)):
                start_s = number * CHANGE_INTERVAL_S
                if number % 2:
                    loop.call_later(start_s, process.signal, signal.SIGSTOP)
                loop.call_later(start_s, change, number)
                loop.call_later(start_s + PAUSE_S, process.signal, signal.SIGCONT)

        schedule = [
            (rng.uniform(0.0, CHANGES_S), NEXT_REQUEST_DELAYS_S[number % 3])
            for number in range(CHANNELS)
        ]
        exchanges = await callers.play(start_changes, schedule)
        self.assertLess(CHANNELS / 2, len(exchanges))
        unanswered_ids = {
            exchange.request_id
            for exchange in exchanges
            if exchange.ending is not Ending.ANSWERED
        }
        self.assertEqual(set(), unanswered_ids & self.run_ids)

    def build_timed_stream(self, request_id: str, end_s: float) -> bytes:
        return self.build_stream(request_id, path=build_stream_path("/chat", end_s))


if __name__ == "__main__":
    unittest.main()
