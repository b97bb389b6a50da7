"""Failures, scheduling and counters of the stand-in for model engines."""

import asyncio
import random
import unittest

import aiohttp

from figshunt.standins import BatchProfile, EngineProfile, ModelEngine
from tests.builders import build_completion_body

WARM_PROFILE = {"cold_limit": 8, "warm_after": 0}
COMPLETIONS_PATH = "/v1/chat/completions"


class ModelEngineTest(unittest.IsolatedAsyncioTestCase):
    """One engine that is called over the loopback interface."""

    async def start_engine(
        self, batch: BatchProfile = BatchProfile(), **overrides: int
    ) -> None:
        profile = EngineProfile(batch=batch, **overrides)  # type: ignore[arg-type]
        self.engine = ModelEngine(profile, random.Random(1))
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.session = aiohttp.ClientSession(self.engine.url)
        self.addAsyncCleanup(self.session.close)
        self.totals = self.engine.runner_state.totals

    async def request_completion(
        self, tokens: int = 4, prompt: str = "Hi", **headers: str
    ) -> str:
        body = build_completion_body(tokens=tokens, prompt=prompt)
        header_fields = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        async with self.session.post(
            COMPLETIONS_PATH, data=body, headers=header_fields
        ) as response:
            return await response.text()

    async def test_exceeding_the_cold_limit_restarts_the_engine(self) -> None:
        """Guards the check of promise 3 against overloads that go undetected.

        The replay report uses these counters to detect that a cold runner got
        more requests than its limit.
        """
        await self.start_engine(cold_limit=2, warm_after=2)
        identity = self.engine.runner_state.start_identity
        calls = [self.request_completion(tokens=200) for _ in range(3)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        self.assertTrue(
            all(isinstance(result, aiohttp.ClientError) for result in results)
        )
        self.assertEqual((self.totals.collapses, self.totals.most_running_cold), (1, 3))
        self.assertNotEqual(self.engine.runner_state.start_identity, identity)
        self.assertTrue(self.engine.runner_state.is_cold)
        async with asyncio.timeout(10):
            while await self.is_refused():
                await asyncio.sleep(0.01)
        self.assertIn("[DONE]", await self.request_completion())
        self.assertEqual(self.engine.runner_state.in_progress, 0)

    async def is_refused(self) -> bool:
        try:
            async with self.session.get("/standin/counters"):
                return False
        except aiohttp.ClientError:
            return True

    async def test_poison_content_crashes_the_engine(self) -> None:
        await self.start_engine(**WARM_PROFILE)
        with self.assertRaises(aiohttp.ClientError):
            await self.request_completion(prompt="poison-marker")
        self.assertEqual((self.totals.crashes, self.totals.collapses), (1, 0))

    async def test_lower_priority_number_enters_the_batch_first(self) -> None:
        await self.start_engine(BatchProfile(token_ms=1, batch_limit=1), **WARM_PROFILE)
        completion_order: list[str] = []

        async def run(name: str, priority: str, tokens: int) -> None:
            await self.request_completion(tokens=tokens, X_Priority=priority)
            completion_order.append(name)

        calls = []
        for name, priority, tokens in (
            ("first", "4", 100_000),
            ("low", "3", 2),
            ("high", "1", 2),
        ):
            calls.append(asyncio.create_task(run(name, priority, tokens)))
            async with asyncio.timeout(10):
                while self.engine.runner_state.in_progress < len(calls):
                    await asyncio.sleep(0.001)
        calls[0].cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual(completion_order, ["high", "low"])

    async def test_stream_resumes_after_the_last_event_id(self) -> None:
        await self.start_engine(**WARM_PROFILE)
        text = await self.request_completion(tokens=6, Last_Event_ID="3")
        self.assertEqual(text.count("id: "), 2)
        self.assertIn("id: 4\n", text)

    async def test_closed_connection_cancels_the_request_and_counts_its_tokens(
        self,
    ) -> None:
        await self.start_engine(**WARM_PROFILE)
        body = build_completion_body(tokens=100_000)
        response = await self.session.post(COMPLETIONS_PATH, data=body)
        await response.content.readline()
        response.close()
        async with asyncio.timeout(10):
            while self.totals.cancelled == 0 or self.engine.runner_state.in_progress:
                await asyncio.sleep(0.01)
        self.assertEqual(self.totals.tokens_abandoned, self.totals.tokens_generated)

    async def test_cached_prefix_is_counted_and_published(self) -> None:
        await self.start_engine(**WARM_PROFILE)
        for number in range(2):
            await self.request_completion(prompt="x" * 4096 + str(number))
        self.assertEqual(self.totals.prompt_tokens_cached, 1024)
        async with self.session.get("/cache-events") as response:
            line = await response.content.readline()
        self.assertIn(b'"kind": "stored"', line)

    async def test_controls_change_the_state_and_the_load_report(self) -> None:
        await self.start_engine(**WARM_PROFILE)
        before = self.engine.runner_state.start_identity
        for name in ("leave", "slow?factor=3", "cold"):
            async with self.session.post(f"/standin/{name}") as response:
                self.assertEqual(response.status, 204)
        async with self.session.get("/load") as response:
            report = await response.json(content_type=None)
        self.assertEqual((report["leaving"], report["start"]), (True, before))
        self.assertEqual(self.engine.runner_state.slow_factor, 3.0)
        async with self.session.post("/standin/crash") as response:
            self.assertEqual(response.status, 204)
        self.assertNotEqual(self.engine.runner_state.start_identity, before)
