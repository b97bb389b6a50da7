"""Runners that crash or leave, with real daemons between callers and them."""

import asyncio
import copy
import random
import unittest

import aiohttp

from figshunt.standins import EngineProfile, ModelEngine
from tests.builders import (
    CALLER_KEY,
    build_completion_body,
    build_documents,
    build_pool,
    build_runner,
)
from tests.harness import Fleet

HEADERS = {"Authorization": f"Bearer {CALLER_KEY}", "Content-Type": "application/json"}
POISON = "poison-marker"
SEATS = 3
ENGINES = 4
INNOCENTS = 12
LIMIT_S = 60.0


class RunnerFaultTest(unittest.IsolatedAsyncioTestCase):
    """Three daemons before four engines in two data centres."""

    async def asyncSetUp(self) -> None:
        self.engines = [
            ModelEngine(EngineProfile(), random.Random(seed)) for seed in range(ENGINES)
        ]
        for engine in self.engines:
            await engine.start()
            self.addAsyncCleanup(engine.stop)
        runners = [
            build_runner(
                f"engine-{number}", engine.url, data_centre=f"accra-{number % 2 + 1}"
            )
            for number, engine in enumerate(self.engines)
        ]
        self.documents = build_documents(pools=[build_pool("engines", runners)])
        self.fleet = await Fleet(self.documents, seats=SEATS).__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.session = aiohttp.ClientSession(headers=HEADERS)
        self.addAsyncCleanup(self.session.close)

    async def complete(self, seat: int, prompt: str, tokens: int = 8) -> int:
        """Send one request; return its status, or 0 for a broken stream."""
        url = f"{self.fleet.daemons_by_seat[seat].caller_url}/v1/chat/completions"
        body = build_completion_body(tokens=tokens, prompt=prompt)
        async with asyncio.timeout(LIMIT_S):
            async with self.session.post(url, data=body) as response:
                try:
                    text = await response.text()
                except aiohttp.ClientError:
                    return 0
        is_whole = text.endswith("data: [DONE]\n\n") and text.count("id: ") == tokens
        return response.status if response.status != 200 or is_whole else 0

    async def test_poison_is_quarantined_at_every_host(self) -> None:
        """Guards against a request that takes down one runner after another."""
        innocents = [
            self.complete(number % SEATS, f"innocent {number}")
            for number in range(INNOCENTS)
        ]
        poisoned = self.complete(0, POISON)
        *statuses, first = await asyncio.gather(*innocents, poisoned)
        self.assertEqual(statuses, [200] * INNOCENTS)
        self.assertNotEqual(first, 200)
        async with asyncio.timeout(LIMIT_S):
            while await self.complete(1, POISON) != 422:
                await asyncio.sleep(0.2)
        crashes = sum(engine.runner_state.totals.crashes for engine in self.engines)
        for seat in range(SEATS):
            self.assertEqual(await self.complete(seat, POISON), 422)
        self.assertEqual(
            sum(engine.runner_state.totals.crashes for engine in self.engines), crashes
        )
        self.assertLessEqual(crashes, 3)

    async def test_data_centre_out_and_back(self) -> None:
        """Guards against new work for a data centre that was taken out."""
        await self.publish(2, "out")
        away = [engine for number, engine in enumerate(self.engines) if number % 2 == 0]
        before = [engine.runner_state.completed for engine in away]
        for number in range(INNOCENTS):
            self.assertEqual(await self.complete(number % SEATS, "hello", 2), 200)
        self.assertEqual([engine.runner_state.completed for engine in away], before)
        await self.publish(3, "in")
        async with asyncio.timeout(LIMIT_S):
            while [engine.runner_state.completed for engine in away] == before:
                await self.complete(0, "hello", 2)

    async def publish(self, revision: int, state: str) -> None:
        """Publish the state of the first data centre and wait for every host."""
        routes, pools = copy.deepcopy(self.documents)
        routes["revision"] = pools["revision"] = revision
        pools["data_centres"][0]["state"] = state
        self.fleet.publish((routes, pools))
        async with asyncio.timeout(LIMIT_S):
            for seat in range(SEATS):
                while (await self.fleet.status(seat))["revision"] != revision:
                    await asyncio.sleep(0.05)
