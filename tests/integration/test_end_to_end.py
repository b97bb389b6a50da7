"""One daemon process between callers and stand-ins of runners."""

import asyncio
import random
import signal
import unittest

import aiohttp
import uuid6

from figshunt.standins import EngineProfile, ModelEngine, PlainProfile, PlainService
from tests.builders import (
    CALLER_KEY,
    build_documents,
    build_pool,
    build_route,
    build_runner,
)
from tests.harness import Fleet

BOOKING_TIMEOUT_S = 30
HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}


class EndToEndTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults anywhere on the path between a caller and a runner."""

    async def asyncSetUp(self) -> None:
        self.engine = ModelEngine(EngineProfile(), random.Random(1))
        self.service = PlainService(PlainProfile(), random.Random(2))
        await self.engine.start()
        await self.service.start()
        engine = build_runner("engine-1", self.engine.url)
        service = build_runner("service-1", self.service.url)
        documents = build_documents(
            routes=[
                build_route("chat"),
                build_route("booking", pool="services", idempotent=False),
            ],
            pools=[
                build_pool("engines", [engine]),
                build_pool("services", [service], kind="plain"),
            ],
        )
        self.fleet = await Fleet(documents, seats=1).__aenter__()
        self.addAsyncCleanup(self.service.stop)
        self.addAsyncCleanup(self.engine.stop)
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def book(self, session: aiohttp.ClientSession) -> str:
        """Send bookings with new keys until one runs; return its key.

        A daemon refuses keys that were issued within 2 s after it was established.
        """
        refused_keys = []
        async with asyncio.timeout(BOOKING_TIMEOUT_S):
            while True:
                key = str(uuid6.uuid7())
                headers = {"Idempotency-Key": key}
                async with session.post(
                    "/route/booking/book", headers=headers
                ) as response:
                    if response.status == 200:
                        break
                    error = (await response.json())["error"]
                self.assertEqual(error["code"], "claim_unavailable")
                refused_keys.append(key)
                await asyncio.sleep(0.1)
        runs_by_key = self.service.runs_by_key.runs_by_id
        self.assertFalse(
            [refused_key for refused_key in refused_keys if refused_key in runs_by_key]
        )
        return key

    async def test_stream_booking_and_planned_stop(self) -> None:
        """A stream completes, a booking runs once, and the daemon exits cleanly."""
        daemon = self.fleet.daemons_by_seat[0]
        chat = {
            "model": "chat",
            "stream": True,
            "max_tokens": 5,
            "messages": [{"role": "user", "content": "hello"}],
        }
        async with aiohttp.ClientSession(daemon.caller_url, headers=HEADERS) as session:
            async with session.post("/v1/chat/completions", json=chat) as response:
                text = await response.text()
            key = await self.book(session)
        self.assertEqual(text.count("id: "), 5)
        self.assertTrue(text.endswith("data: [DONE]\n\n"))
        self.assertEqual(self.service.runs_by_key.runs_by_id[key], 1)
        daemon.process.signal(signal.SIGTERM)
        self.assertEqual(await daemon.process.wait(), 0)
