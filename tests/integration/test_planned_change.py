"""Revisions, pauses and planned stops in real daemon processes."""

import asyncio
import json
import random
import signal
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from figshunt.standins import EngineProfile, ModelEngine
from tests.builders import (
    CALLER_KEY,
    build_documents,
    build_pool,
    build_route,
    build_runner,
)
from tests.harness import Balancer, Fleet

LIMIT_S = 30.0
HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}
CALLERS = 6


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not await condition():
            await asyncio.sleep(0.05)


async def has_revision(fleet: Fleet, revision: int) -> bool:
    states = [await fleet.status(seat) for seat in fleet.seats]
    return all(state["revision"] == revision for state in states)


async def replace_daemon(fleet: Fleet, seat: int) -> int:
    """Stop a daemon gracefully and start another one; return the exit status."""
    process = fleet.daemons_by_seat[seat].process
    process.signal(signal.SIGTERM)
    status = await process.wait(LIMIT_S)
    await fleet.start_daemon(seat)
    await fleet.wait_ready(seat)
    return status


class RevisionTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons without runners."""

    async def test_service_down_while_every_host_is_replaced(self) -> None:
        """Guards against a revision that is lost with the hosts that knew it."""
        async with Fleet(build_documents(1)) as fleet:
            fleet.publish(build_documents(2))
            await until(lambda: has_revision(fleet, 2))
            for proxy in fleet.configuration_proxies.values():
                proxy.cut()
            for seat in fleet.seats:
                self.assertEqual(await replace_daemon(fleet, seat), 0)
                self.assertTrue(await has_revision(fleet, 2))
            state = await fleet.status(2)
            self.assertEqual(state["tables"]["source"], "peer")
            self.assertIsNone(state["tables"]["last_read_age_ms"])

    async def test_readers_service_hangs(self) -> None:
        """Guards against a cell that waits for a reader whose watch is stuck."""
        async with Fleet(build_documents(1)) as fleet:
            await until(lambda: has_revision(fleet, 1))
            fleet.configuration_proxies[0].freeze()
            fleet.publish(build_documents(2))
            await until(lambda: has_revision(fleet, 2))

    async def test_paused_daemon_catches_up(self) -> None:
        """Guards against a resumed daemon that keeps its old tables."""
        async with Fleet(build_documents(1)) as fleet:
            fleet.pause(2)
            fleet.publish(build_documents(2))
            await asyncio.sleep(3)
            fleet.resume(2)
            process = fleet.daemons_by_seat[2].process
            await process.wait_for_line("event=clock_jumped")
            await until(lambda: has_revision(fleet, 2))


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """Daemons in front of one engine, stopped while they answer."""

    async def asyncSetUp(self) -> None:
        self.engine = ModelEngine(EngineProfile(), random.Random(1))
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.outcomes: Counter[str] = Counter()

    async def start_fleet(self, seats: int) -> Fleet:
        runner = build_runner("engine-1", self.engine.url)
        documents = build_documents(
            routes=[build_route("chat")], pools=[build_pool("engines", [runner])]
        )
        fleet = Fleet(documents, seats=seats)
        fleet.settings_overrides["drain_grace_ms"] = 600
        await fleet.__aenter__()
        self.addAsyncCleanup(fleet.__aexit__)
        return fleet

    async def chat(self, url: str, tokens: int) -> tuple[str, str | None]:
        """Return what became of one request, and its Connection header."""
        body: dict[str, Any] = {"model": "chat", "stream": True, "max_tokens": tokens}
        body["messages"] = [{"role": "user", "content": "hello"}]
        async with aiohttp.ClientSession(headers=HEADERS) as session:
            try:
                async with session.post(
                    f"{url}/v1/chat/completions", json=body
                ) as response:
                    text = await response.text()
                    connection = response.headers.get("Connection")
                    if response.status != 200:
                        return json.loads(text)["error"]["outcome"], connection
                    is_whole = text.count("id: ") == tokens and "[DONE]" in text
                    return "whole" if is_whole else "cut", connection
            except aiohttp.ClientConnectorError:
                return "refused connection", None
            except aiohttp.ClientError as error:
                return f"cut: {type(error).__name__}", None

    async def call_until(self, url: str, stop: asyncio.Event) -> None:
        while not stop.is_set():
            outcome, _ = await self.chat(url, tokens=80)
            self.outcomes[outcome] += 1

    async def test_rolling_replacement_cuts_no_answer(self) -> None:
        """Guards against a planned stop that interrupts requests."""
        fleet = await self.start_fleet(seats=3)
        balancer = await Balancer(fleet).start()
        self.addAsyncCleanup(balancer.stop)
        stop = asyncio.Event()
        url = f"http://127.0.0.1:{balancer.port}"
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self.call_until(url, stop))
            for seat in fleet.seats:
                self.assertEqual(await replace_daemon(fleet, seat), 0)
            stop.set()
        print(f"outcomes={dict(self.outcomes)}")
        self.assertEqual(set(self.outcomes), {"whole"})

    async def test_stop_in_order(self) -> None:
        """Guards against a stop that refuses early, cuts, or never ends."""
        fleet = await self.start_fleet(seats=1)
        daemon = fleet.daemons_by_seat[0]
        long_stream = asyncio.create_task(self.chat(daemon.caller_url, 700))
        await until(self.engine_is_busy)
        daemon.process.signal(signal.SIGTERM)
        await daemon.process.wait_for_line("event=drain_started")
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{daemon.admin_url}/readyz") as response:
                self.assertEqual(response.status, 503)
        in_grace = await self.chat(daemon.caller_url, 2)
        self.assertEqual(in_grace, ("whole", "close"))
        daemon.process.signal(signal.SIGTERM)

        async def refuses() -> bool:
            return (await self.chat(daemon.caller_url, 2))[0] == "refused connection"

        await until(refuses)
        self.assertFalse(long_stream.done())
        self.assertEqual((await long_stream)[0], "whole")
        self.assertEqual(await daemon.process.wait(), 0)

    async def engine_is_busy(self) -> bool:
        return self.engine.runner_state.in_progress > 0
