"""Configuration revisions, pauses and planned stops with daemon processes."""

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

WAIT_TIMEOUT_S = 30.0
HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}
CALLER_COUNT = 6


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.05)


async def all_daemons_have_revision(fleet: Fleet, revision: int) -> bool:
    statuses = [await fleet.fetch_status(seat) for seat in fleet.seats]
    return all(status["revision"] == revision for status in statuses)


async def replace_daemon(fleet: Fleet, seat: int) -> int:
    """Stop a daemon with SIGTERM, start another one and return the exit status."""
    process = fleet.daemons_by_seat[seat].process
    process.signal(signal.SIGTERM)
    status = await process.wait(WAIT_TIMEOUT_S)
    await fleet.start_daemon(seat)
    await fleet.wait_until_ready(seat)
    return status


class RevisionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against daemons that lose a revision or keep an outdated one."""

    async def test_revision_survives_replacement_of_all_hosts_in_outage(
        self,
    ) -> None:
        """Guards against the loss of a revision when its hosts are replaced.

        The configuration service is unreachable meanwhile, so that new hosts must
        get the tables from their peers.
        """
        async with Fleet(build_documents(1)) as fleet:
            fleet.publish(build_documents(2))
            await wait_until(lambda: all_daemons_have_revision(fleet, 2))
            for proxy in fleet.configuration_proxies.values():
                proxy.cut()
            for seat in fleet.seats:
                self.assertEqual(await replace_daemon(fleet, seat), 0)
                self.assertTrue(await all_daemons_have_revision(fleet, 2))
            status = await fleet.fetch_status(2)
            self.assertEqual(status["tables"]["source"], "peer")
            self.assertIsNone(status["tables"]["last_read_age_ms"])

    async def test_revision_spreads_while_the_readers_watch_hangs(self) -> None:
        """Guards against a cell that misses a revision because one watch hangs.

        The connection from the first daemon to the service stays open but carries
        no data.
        """
        async with Fleet(build_documents(1)) as fleet:
            await wait_until(lambda: all_daemons_have_revision(fleet, 1))
            fleet.configuration_proxies[0].freeze()
            fleet.publish(build_documents(2))
            await wait_until(lambda: all_daemons_have_revision(fleet, 2))

    async def test_paused_daemon_catches_up_after_resuming(self) -> None:
        """Guards against a daemon that keeps outdated tables after a pause."""
        async with Fleet(build_documents(1)) as fleet:
            fleet.pause(2)
            fleet.publish(build_documents(2))
            await asyncio.sleep(3)
            fleet.resume(2)
            process = fleet.daemons_by_seat[2].process
            await process.wait_for_line("event=clock_jumped")
            await wait_until(lambda: all_daemons_have_revision(fleet, 2))


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against planned stops that interrupt or refuse requests.

    Daemons in front of one engine are stopped while they stream answers.
    """

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

    async def send(self, url: str, tokens: int) -> tuple[str, str | None]:
        """Send a request; return its outcome and the Connection header."""
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
                    is_complete = text.count("id: ") == tokens and "[DONE]" in text
                    return "complete" if is_complete else "broken", connection
            except aiohttp.ClientConnectorError:
                return "refused connection", None
            except aiohttp.ClientError as error:
                return f"broken: {type(error).__name__}", None

    async def send_requests_until(self, url: str, stop: asyncio.Event) -> None:
        while not stop.is_set():
            outcome, _ = await self.send(url, tokens=80)
            self.outcomes[outcome] += 1

    async def test_rolling_replacement_breaks_no_request(self) -> None:
        """Guards against a rolling replacement that interrupts requests.

        Callers connect through a load balancer that skips daemons which are not
        ready.
        """
        fleet = await self.start_fleet(seats=3)
        balancer = await Balancer(fleet).start()
        self.addAsyncCleanup(balancer.stop)
        stop = asyncio.Event()
        url = f"http://127.0.0.1:{balancer.port}"
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLER_COUNT):
                group.create_task(self.send_requests_until(url, stop))
            for seat in fleet.seats:
                self.assertEqual(await replace_daemon(fleet, seat), 0)
            stop.set()
        print(f"outcomes={dict(self.outcomes)}")
        self.assertEqual(set(self.outcomes), {"complete"})

    async def test_planned_stop_drains_in_order(self) -> None:
        """Guards against a stop that refuses early, breaks a stream or never ends.

        The daemon reports that it is not ready, accepts requests until the grace
        period ends, completes running streams and then exits.
        """
        fleet = await self.start_fleet(seats=1)
        daemon = fleet.daemons_by_seat[0]
        running_stream = asyncio.create_task(self.send(daemon.caller_url, 700))
        await wait_until(self.is_engine_busy)
        daemon.process.signal(signal.SIGTERM)
        await daemon.process.wait_for_line("event=drain_started")
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{daemon.admin_url}/readyz") as response:
                self.assertEqual(response.status, 503)
        during_grace = await self.send(daemon.caller_url, 2)
        self.assertEqual(during_grace, ("complete", "close"))
        daemon.process.signal(signal.SIGTERM)

        async def refuses_connections() -> bool:
            return (await self.send(daemon.caller_url, 2))[0] == "refused connection"

        await wait_until(refuses_connections)
        self.assertFalse(running_stream.done())
        self.assertEqual((await running_stream)[0], "complete")
        self.assertEqual(await daemon.process.wait(), 0)

    async def is_engine_busy(self) -> bool:
        return self.engine.runner_state.in_progress > 0
