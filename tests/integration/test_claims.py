"""Requests with idempotency keys, sent to five daemon processes.

The runner is a plain service that counts how often each key runs.
"""

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
KEY_HEADER = {"Idempotency-Key": str(uuid6.uuid7())}
BOOKING_TIMEOUT_S = 60
RETRY_INTERVAL_S = 0.1
SEATS = 5


class ClaimsIntegrationTest(unittest.IsolatedAsyncioTestCase):
    """Guards promises 6 and 7 while hosts are killed, replaced and partitioned.

    A key runs at most once, and no request is reported as not run if it may have
    run.
    """

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
        """Send one booking; return its status and the ``X-Run-Outcome`` header.

        The header is empty if the response has none.
        """
        url = f"{self.fleet.daemons_by_seat[seat].caller_url}/route/booking/book"
        headers = HEADERS | {"Idempotency-Key": key}
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers) as response,
        ):
            return response.status, response.headers.get("X-Run-Outcome", "")

    async def book_with_new_key(self, seat: int) -> str:
        """Send bookings with new keys until one runs; return its key."""
        async with asyncio.timeout(BOOKING_TIMEOUT_S):
            while True:
                key = str(uuid6.uuid7())
                status, outcome = await self.book(seat, key)
                if status == 200:
                    return key
                self.assertEqual((status, outcome), (503, "may_have_run"))
                self.assertEqual(self.count_runs(key), 0)
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def repeat_until_answered(self, seat: int, key: str) -> None:
        """Repeat a key that has run until the host returns its claimant's answer.

        The host refuses the repeat with 409 while its link to the claimant, which may
        be a host that was replaced, is not connected yet.
        """
        async with asyncio.timeout(BOOKING_TIMEOUT_S):
            while (result := await self.book(seat, key)) != (200, ""):
                self.assertEqual(result, (409, "may_have_run"))
                await asyncio.sleep(RETRY_INTERVAL_S)
        self.assertEqual(self.count_runs(key), 1)

    def count_runs(self, key: str) -> int:
        """Return how often the service has run the key."""
        return self.service.runs_by_key.runs_by_id.get(key, 0)

    async def test_repeated_key_does_not_run_at_another_host(self) -> None:
        """Guards against a second run of a key whose first host was killed."""
        key = await self.book_with_new_key(0)
        await self.fleet.kill(0)
        for seat in range(1, SEATS):
            self.assertEqual(await self.book(seat, key), (409, "may_have_run"))
        await self.fleet.start_daemon(0)
        await self.fleet.wait_until_ready(0)
        second_key = await self.book_with_new_key(0)
        async with asyncio.timeout(BOOKING_TIMEOUT_S):
            while (await self.fleet.fetch_status(0))["claims"] != "established":
                await asyncio.sleep(RETRY_INTERVAL_S)
        self.assertEqual((await self.book(0, key))[0], 409)
        for seat in range(SEATS):
            await self.repeat_until_answered(seat, second_key)
        self.fleet.partition([0, 1])
        third_key = await self.book_with_new_key(2)
        isolated_key = str(uuid6.uuid7())
        self.assertEqual(await self.book(0, isolated_key), (503, "may_have_run"))
        self.fleet.heal()
        fourth_key = await self.book_with_new_key(0)
        self.assertEqual(
            [
                self.count_runs(booking_key)
                for booking_key in (key, second_key, third_key, fourth_key)
            ],
            [1] * 4,
        )
        self.assertEqual(self.count_runs(isolated_key), 0)

    async def test_malformed_request_with_key_is_not_reported_as_not_run(
        self,
    ) -> None:
        """Guards against "not run" for a key that may have run.

        A malformed request may be a damaged repeat of one that has run.
        """
        url = f"{self.fleet.daemons_by_seat[0].caller_url}/v1/completions"
        async with aiohttp.ClientSession() as session:
            for key, outcome in (({}, "not_run"), (KEY_HEADER, "may_have_run")):
                async with session.post(url, headers=HEADERS | key) as response:
                    self.assertEqual(response.status, 400)
                    self.assertEqual(response.headers["X-Run-Outcome"], outcome)

    async def test_simultaneous_requests_run_once(self) -> None:
        """Guards against two hosts that claim a key at once and both run it."""
        await self.book_with_new_key(0)
        keys = [str(uuid6.uuid7()) for _ in range(10)]
        results = await asyncio.gather(
            *(self.book(seat, key) for key in keys for seat in range(SEATS))
        )
        run_counts = [self.count_runs(key) for key in keys]
        self.assertLessEqual(max(run_counts), 1)
        answered = [
            any(status == 200 for status, _ in results[start : start + SEATS])
            for start in range(0, len(results), SEATS)
        ]
        self.assertEqual([count == 1 for count in run_counts], answered)
        self.assertNotIn("not_run", [outcome for _, outcome in results])
