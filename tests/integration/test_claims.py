"""Keyed requests on five daemon processes and a plain service that counts."""

import asyncio
import random
import unittest

import aiohttp
import uuid6

from figshunt.standins import PlainProfile, PlainService
from tests.builders import (
    CALLER_KEY,
    build_documents,
    build_pool,
    build_route,
    build_runner,
)
from tests.harness import Fleet

HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}
BOOKING_TIMEOUT_S = 60
RETRY_S = 0.1
SEATS = 5


class FleetClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Promises 6 and 7 while hosts are killed, replaced and cut off."""

    async def asyncSetUp(self) -> None:
        self.service = PlainService(PlainProfile(), random.Random(1))
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        runners = [build_runner("service-1", self.service.url)]
        pool = build_pool("services", runners, kind="plain", cold_limit=SEATS)
        route = build_route("booking", pool="services", idempotent=False)
        documents = build_documents(routes=[route], pools=[pool])
        self.fleet = await Fleet(documents, seats=SEATS).__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def book(self, seat: int, key: str) -> tuple[int, str]:
        """Book once and return the status and the run outcome of a refusal."""
        url = f"{self.fleet.daemons_by_seat[seat].caller_url}/route/booking/book"
        headers = HEADERS | {"Idempotency-Key": key}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers) as response,
        ):
            return response.status, response.headers.get("X-Run-Outcome", "")

    async def book_fresh(self, seat: int) -> str:
        """Book with fresh keys until one runs, and return it."""
        async with asyncio.timeout(BOOKING_TIMEOUT_S):
            while True:
                key = str(uuid6.uuid7())
                status, outcome = await self.book(seat, key)
                if status == 200:
                    return key
                self.assertEqual((status, outcome), (503, "may_have_run"))
                self.assertEqual(self.runs(key), 0)
                await asyncio.sleep(RETRY_S)

    def runs(self, key: str) -> int:
        """Return how often the service ran the key."""
        return self.service.runs_by_key.runs_by_id.get(key, 0)

    async def test_repeat_at_another_host_does_not_run(self) -> None:
        """Guards against a second run after the first host is gone."""
        key = await self.book_fresh(0)
        await self.fleet.kill(0)
        for seat in range(1, SEATS):
            self.assertEqual(await self.book(seat, key), (409, "may_have_run"))
        await self.fleet.start_daemon(0)
        await self.fleet.wait_ready(0)
        second = await self.book_fresh(0)
        self.assertEqual((await self.book(0, key))[0], 409)
        for seat in range(SEATS):
            self.assertEqual(await self.book(seat, second), (200, ""))
        self.fleet.partition([0, 1])
        third = await self.book_fresh(2)
        cut_off = str(uuid6.uuid7())
        self.assertEqual(await self.book(0, cut_off), (503, "may_have_run"))
        self.fleet.heal()
        fourth = await self.book_fresh(0)
        self.assertEqual(
            [self.runs(one) for one in (key, second, third, fourth)], [1] * 4
        )
        self.assertEqual(self.runs(cut_off), 0)

    async def test_simultaneous_requests_run_once(self) -> None:
        """Guards against two hosts that both win a key."""
        await self.book_fresh(0)
        keys = [str(uuid6.uuid7()) for _ in range(10)]
        results = await asyncio.gather(
            *(self.book(seat, key) for key in keys for seat in range(SEATS))
        )
        ran = [self.runs(key) for key in keys]
        self.assertLessEqual(max(ran), 1)
        answered = [
            any(status == 200 for status, _ in results[first : first + SEATS])
            for first in range(0, len(results), SEATS)
        ]
        self.assertEqual([count == 1 for count in ran], answered)
        self.assertNotIn("not_run", [outcome for _, outcome in results])
