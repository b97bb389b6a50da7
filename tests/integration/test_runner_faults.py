"""Crashing runners and evacuated data centres, with daemon processes."""

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
POISON_PROMPT = "poison-marker"
SEAT_COUNT = 3
ENGINE_COUNT = 4
ORDINARY_REQUEST_COUNT = 12
WAIT_TIMEOUT_S = 60.0


class RunnerFaultTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults of runners that spread to other requests.

    Three daemons send requests to four engines in two data centres.
    """

    async def asyncSetUp(self) -> None:
        self.engines = [
            ModelEngine(EngineProfile(), random.Random(seed))
            for seed in range(ENGINE_COUNT)
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
        self.fleet = await Fleet(self.documents, seats=SEAT_COUNT).__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.session = aiohttp.ClientSession(headers=HEADERS)
        self.addAsyncCleanup(self.session.close)

    async def send_completion(self, seat: int, prompt: str, tokens: int = 8) -> int:
        """Send a request; return its status, or 0 if its stream is incomplete."""
        url = f"{self.fleet.daemons_by_seat[seat].caller_url}/v1/chat/completions"
        body = build_completion_body(tokens=tokens, prompt=prompt)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            async with self.session.post(url, data=body) as response:
                try:
                    text = await response.text()
                except aiohttp.ClientError:
                    return 0
        is_complete = text.endswith("data: [DONE]\n\n") and text.count("id: ") == tokens
        return response.status if response.status != 200 or is_complete else 0

    async def test_crashing_request_is_quarantined_at_every_host(self) -> None:
        """Guards against a request that crashes one runner after another.

        It must be rejected by every host after a few crashes, and ordinary requests
        that run in the same batch must succeed.
        """
        ordinary_requests = [
            self.send_completion(number % SEAT_COUNT, f"innocent {number}")
            for number in range(ORDINARY_REQUEST_COUNT)
        ]
        poison_request = self.send_completion(0, POISON_PROMPT)
        *statuses, poison_status = await asyncio.gather(
            *ordinary_requests, poison_request
        )
        self.assertEqual(statuses, [200] * ORDINARY_REQUEST_COUNT)
        self.assertNotEqual(poison_status, 200)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while await self.send_completion(1, POISON_PROMPT) != 422:
                await asyncio.sleep(0.2)
        crashes = sum(engine.runner_state.totals.crashes for engine in self.engines)
        for seat in range(SEAT_COUNT):
            self.assertEqual(await self.send_completion(seat, POISON_PROMPT), 422)
        self.assertEqual(
            sum(engine.runner_state.totals.crashes for engine in self.engines), crashes
        )
        self.assertLessEqual(crashes, 3)

    async def test_data_centre_out_gets_no_new_requests_until_in(self) -> None:
        """Guards against new requests to a data centre that was taken out.

        Its engines must get requests again once it is back in.
        """
        await self.publish(2, "out")
        evacuated_engines = [
            engine for number, engine in enumerate(self.engines) if number % 2 == 0
        ]
        completed_before = [
            engine.runner_state.completed for engine in evacuated_engines
        ]
        for number in range(ORDINARY_REQUEST_COUNT):
            self.assertEqual(
                await self.send_completion(number % SEAT_COUNT, "hello", 2), 200
            )
        self.assertEqual(
            [engine.runner_state.completed for engine in evacuated_engines],
            completed_before,
        )
        await self.publish(3, "in")
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while [
                engine.runner_state.completed for engine in evacuated_engines
            ] == completed_before:
                await self.send_completion(0, "hello", 2)

    async def publish(self, revision: int, state: str) -> None:
        """Publish a state of the first data centre; wait until all hosts apply it."""
        routes, pools = copy.deepcopy(self.documents)
        routes["revision"] = pools["revision"] = revision
        pools["data_centres"][0]["state"] = state
        self.fleet.publish((routes, pools))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            for seat in range(SEAT_COUNT):
                while (await self.fleet.fetch_status(seat))["revision"] != revision:
                    await asyncio.sleep(0.05)
