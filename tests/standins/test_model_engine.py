"""The engine stand-in fails and counts as the platform's engines do."""

import asyncio
import random
import unittest

import aiohttp

from figshunt.standins import BatchProfile, EngineProfile, ModelEngine
from tests.builders import build_completion_body

WARM = {"cold_limit": 8, "warm_after": 0}
PATH = "/v1/chat/completions"


class ModelEngineTest(unittest.IsolatedAsyncioTestCase):
    """One engine and its callers over loopback."""

    async def start(self, batch: BatchProfile = BatchProfile(), **changes: int) -> None:
        profile = EngineProfile(batch=batch, **changes)  # type: ignore[arg-type]
        self.engine = ModelEngine(profile, random.Random(1))
        await self.engine.start()
        self.addAsyncCleanup(self.engine.stop)
        self.session = aiohttp.ClientSession(self.engine.url)
        self.addAsyncCleanup(self.session.close)
        self.totals = self.engine.runner_state.totals

    async def complete(
        self, tokens: int = 4, prompt: str = "Hi", **headers: str
    ) -> str:
        body = build_completion_body(tokens=tokens, prompt=prompt)
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        async with self.session.post(PATH, data=body, headers=named) as response:
            return await response.text()

    async def test_one_request_too_many_while_cold_collapses_the_engine(self) -> None:
        """Guards the oracle of promise 3: an overload while cold must show."""
        await self.start(cold_limit=2, warm_after=2)
        identity = self.engine.runner_state.start_identity
        calls = [self.complete(tokens=200) for _ in range(3)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        self.assertTrue(all(isinstance(one, aiohttp.ClientError) for one in results))
        self.assertEqual((self.totals.collapses, self.totals.most_running_cold), (1, 3))
        self.assertNotEqual(self.engine.runner_state.start_identity, identity)
        self.assertTrue(self.engine.runner_state.is_cold)
        async with asyncio.timeout(10):
            while await self.is_refused():
                await asyncio.sleep(0.01)
        self.assertIn("[DONE]", await self.complete())
        self.assertEqual(self.engine.runner_state.in_progress, 0)

    async def is_refused(self) -> bool:
        try:
            async with self.session.get("/standin/counters"):
                return False
        except aiohttp.ClientError:
            return True

    async def test_poison_crashes_the_engine_each_time(self) -> None:
        await self.start(**WARM)
        with self.assertRaises(aiohttp.ClientError):
            await self.complete(prompt="poison-marker")
        self.assertEqual((self.totals.crashes, self.totals.collapses), (1, 0))

    async def test_lower_priority_number_enters_the_batch_first(self) -> None:
        await self.start(BatchProfile(token_ms=1, batch_limit=1), **WARM)
        ends: list[str] = []

        async def run(name: str, priority: str, tokens: int) -> None:
            await self.complete(tokens=tokens, X_Priority=priority)
            ends.append(name)

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
        self.assertEqual(ends, ["high", "low"])

    async def test_stream_resumes_behind_the_last_event_id(self) -> None:
        await self.start(**WARM)
        text = await self.complete(tokens=6, Last_Event_ID="3")
        self.assertEqual(text.count("id: "), 2)
        self.assertIn("id: 4\n", text)

    async def test_closed_connection_cancels_and_counts_what_was_wasted(self) -> None:
        await self.start(**WARM)
        body = build_completion_body(tokens=100_000)
        response = await self.session.post(PATH, data=body)
        await response.content.readline()
        response.close()
        async with asyncio.timeout(10):
            while self.totals.cancelled == 0 or self.engine.runner_state.in_progress:
                await asyncio.sleep(0.01)
        self.assertEqual(self.totals.tokens_abandoned, self.totals.tokens_generated)

    async def test_cached_prefix_saves_prompt_work(self) -> None:
        await self.start(**WARM)
        for number in range(2):
            await self.complete(prompt="x" * 4096 + str(number))
        self.assertEqual(self.totals.prompt_tokens_cached, 1024)
        async with self.session.get("/cache-events") as response:
            line = await response.content.readline()
        self.assertIn(b'"kind": "stored"', line)

    async def test_controls_show_in_the_load_report(self) -> None:
        await self.start(**WARM)
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
