"""``figshunt demo``: a daemon, its stand-ins and a burst of traffic, in one loop."""

import asyncio
import hashlib
import json
import random
from collections.abc import Mapping
from typing import Any

import aiohttp
import uuid6

from figshunt.services import Daemon, open_log
from figshunt.settings import check_settings
from figshunt.standins import (
    ConfigurationService,
    EngineProfile,
    ModelEngine,
    PlainProfile,
    PlainService,
)
from figshunt.types import SystemClock

CALLER_KEY = "demo-caller-key"
CHATS = 20
BOOKINGS = 10


def demo(*, seed: int = 1) -> int:
    """Run a daemon against stand-ins, send it a burst, and print the outcome.

    Exit status: 0 if every caller got its whole answer, 1 otherwise.

    :param seed: seed of the stand-ins.
    """
    open_log("warning")
    return asyncio.run(_run(random.Random(seed)))


async def _run(random_source: random.Random) -> int:
    configuration = ConfigurationService()
    engine = ModelEngine(EngineProfile(), random_source)
    service = PlainService(PlainProfile(), random_source)
    standins = (configuration, engine, service)
    for standin in standins:
        await standin.start()
    for name, document in _tables(engine.url, service.url).items():
        configuration.publish(name, json.dumps(document))
    checked = check_settings(_settings_document(configuration.url))
    assert checked.settings is not None, checked.faults
    daemon = Daemon(checked.settings, SystemClock(), random_source)
    await daemon.start()
    try:
        whole = await _send_burst(f"http://127.0.0.1:{daemon.callers.port}")
    finally:
        await daemon.stop()
        for standin in standins:
            await standin.stop()
    runs = list(service.runs_by_key.runs_by_id.values())
    print(f"whole answers: {whole} of {CHATS + BOOKINGS}")
    print(f"bookings run: {len(runs)}, most runs of one key: {max(runs, default=0)}")
    return 0 if whole == CHATS + BOOKINGS else 1


async def _send_burst(url: str) -> int:
    headers = {"Authorization": f"Bearer {CALLER_KEY}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        await _wait_for_tables(session, url)
        chats = [_chat(session, url, tokens=8 + index) for index in range(CHATS)]
        bookings = [_book(session, url) for _ in range(BOOKINGS)]
        results = await asyncio.gather(*chats, *bookings)
    return sum(results)


async def _wait_for_tables(session: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(10):
        while True:
            async with session.get(f"{url}/route/roster/ping") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.1)


async def _chat(session: aiohttp.ClientSession, url: str, tokens: int) -> bool:
    body = {
        "model": "chat",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "When is the workshop open?"}],
    }
    async with session.post(f"{url}/v1/chat/completions", json=body) as response:
        text = await response.text()
        return text.count("id: ") == tokens and text.endswith("data: [DONE]\n\n")


async def _book(session: aiohttp.ClientSession, url: str) -> bool:
    headers = {"Idempotency-Key": str(uuid6.uuid7())}
    async with session.post(f"{url}/route/booking/book", headers=headers) as response:
        return response.status == 200


def _settings_document(configuration_url: str) -> Mapping[str, Any]:
    loopback = {"ip": "127.0.0.1", "port": 0}
    return {
        "host": "demo",
        "data_centre": "demo-1",
        "seat": 0,
        "peers": [],
        "peer_secret": "demo-peer-secret",
        "caller_address": loopback,
        "admin_address": loopback,
        "peer_address": loopback,
        "configuration_url": configuration_url,
        "host_list_url": configuration_url,
    }


def _tables(engine_url: str, service_url: str) -> Mapping[str, Any]:
    routes = {
        "revision": 1,
        "routes": [
            _route("chat", "engines", tier=2, idempotent=True),
            _route("roster", "services", tier=1, idempotent=True),
            _route("booking", "services", tier=1, idempotent=False),
        ],
        "teams": [
            {
                "name": "demo",
                "key_sha256": hashlib.sha256(CALLER_KEY.encode()).hexdigest(),
            }
        ],
    }
    pools = {
        "revision": 1,
        "data_centres": [{"name": "demo-1", "state": "in"}],
        "pools": [
            _pool("engines", "engine", engine_url),
            _pool("services", "plain", service_url),
        ],
    }
    return {"routes": routes, "pools": pools}


def _route(name: str, pool: str, tier: int, idempotent: bool) -> Mapping[str, Any]:
    return {
        "name": name,
        "pool": pool,
        "tier": tier,
        "latency_target_ms": 450,
        "idempotent": idempotent,
        "deadline_ms": 20_000,
    }


def _pool(name: str, kind: str, url: str) -> Mapping[str, Any]:
    runner = {"id": f"{name}-1", "url": url, "data_centre": "demo-1"}
    return {
        "name": name,
        "kind": kind,
        "limit": 16,
        "cold_limit": 2,
        "runners": [runner],
    }
