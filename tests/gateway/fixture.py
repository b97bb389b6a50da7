"""A fixture that runs one daemon in this process against a simulated platform."""

import asyncio
import json
import random
from collections.abc import Callable, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any

import aiohttp

from figshunt.dispatch import SharedBounds
from figshunt.gateway import Address, BootClock, GatewayDaemon, GatewaySettings
from figshunt.platform import (
    READINESS_PATH,
    PlatformCallCodec,
    PlatformItemCodec,
    PlatformStoreClient,
)
from figshunt.standins import PlatformRunner, PlatformStore
from figshunt.types import DataCentreName, HostName

LOOPBACK = "127.0.0.1"
WAIT_TIMEOUT_S = 20.0
CALLER_API_KEY = "key-of-team"


def build_document(version: int = 3, **changes: Any) -> dict[str, Any]:
    """Return a configuration document as an operator writes it."""
    shared = {"host": "h.example", "public": False, "sticky": False}
    chat = {"sloMs": 300, "timeoutMs": 5000, "priority": 0, "maxAttempts": 2}
    book = {"sloMs": 200, "timeoutMs": 2000, "priority": 2, "maxAttempts": 1}
    routes = [
        shared
        | chat
        | {
            "name": "chat",
            "prefix": "/chat/",
            "kind": "stream",
            "service": "engines",
            "resumable": True,
            "gapTargetMs": 200,
        },
        shared
        | book
        | {
            "name": "book",
            "prefix": "/book/",
            "kind": "unsafe",
            "service": "bookings",
        },
        shared
        | book
        | {
            "name": "look",
            "prefix": "/look/",
            "kind": "safe",
            "service": "bookings",
            "maxAttempts": 2,
        },
    ]
    engine = {"slots": 8, "kvCapacity": 10_000, "stride": 4}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "maxConns": 9, "engine": engine},
            {"name": "bookings", "maxConns": 9},
        ],
        "tenants": [{"name": "team-a", "apiKeys": [CALLER_API_KEY]}],
    } | changes


def write_settings(
    path: Path,
    store_port: int,
    *,
    host: str = "front-1",
    ip: str = LOOPBACK,
    peer_port: int = 0,
    mirror_port: int = 0,
    seeds: Sequence[str] = (),
    memory_mb: int = 150,
) -> None:
    """Write a settings file for a daemon process on a loopback address."""
    path.write_text(f"""
node = "{host}"
ip = "{ip}"
zone = "a"
portRange = [{peer_port}, {peer_port}]
seeds = {json.dumps(list(seeds))}
metricsPort = 0
[limits]
memoryMb = {memory_mb}
linkMbps = 1000.0
[listen]
front = "{ip}:0"
ready = "{ip}:0"
control = "{ip}:{mirror_port}"
[bounds]
coldOvershoot = 1.5
coldSlack = 5
retryRatio = 0.2
retrySlack = 50
budgetWindowS = 10
reuseWindowS = 6.3
graceS = 8
[provider]
addr = "{LOOPBACK}:{store_port}"
""")


class GatewayFixture:
    """A store, two engines, two runners without an engine, and a daemon."""

    def __init__(self) -> None:
        self.store = PlatformStore()
        self.engines = [PlatformRunner(f"e{n}") for n in range(2)]
        self.bookings = [PlatformRunner(f"b{n}") for n in range(2)]

    async def __aenter__(self) -> "GatewayFixture":
        await self.store.start()
        for runner in self.runners:
            await runner.start()
        self.register_runners()
        self.store.put("op/config", build_document())
        any_port = Address(LOOPBACK, 0)
        self.daemon = GatewayDaemon(
            GatewaySettings(
                host=HostName("front-1"),
                data_centre=DataCentreName("a"),
                front=any_port,
                readiness=any_port,
                mirror=any_port,
                metrics=any_port,
                peer_port=0,
                seeds=(),
                store=Address(LOOPBACK, self.store.port),
                bounds=SharedBounds(retry_slack=1_000.0),
                stop_grace_ms=8_000,
            ),
            PlatformCallCodec(),
            PlatformItemCodec(),
            PlatformStoreClient(Address(LOOPBACK, self.store.port)),
            READINESS_PATH,
            BootClock(),
            random.Random(1),
        )
        await self.daemon.start()
        self.session = aiohttp.ClientSession()
        await wait_until(self.daemon.is_ready)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.session.close()
        await self.daemon.stop()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()

    @property
    def runners(self) -> list[PlatformRunner]:
        """Return all runners."""
        return [*self.engines, *self.bookings]

    def register_runners(self) -> None:
        """Write the entry of each runner to the store."""
        for runner in self.engines:
            self.store.put(
                f"servers/{runner.runner_id}", runner.build_store_entry("engines")
            )
        for runner in self.bookings:
            self.store.put(
                f"servers/{runner.runner_id}", runner.build_store_entry("bookings")
            )

    def request(
        self, method: str, path: str, request_id: str = "r1", **headers: str
    ) -> Any:
        """Return an asynchronous context manager that sends a caller's request."""
        return self.session.request(
            method,
            f"http://{LOOPBACK}:{self.daemon.front.port}{path}",
            headers={
                "Host": "h.example",
                "X-Figshunt-Attempt-Id": request_id,
                "X-Figshunt-Deadline-Ms": "4000",
                "Authorization": f"Token {CALLER_API_KEY}",
            }
            | {name.replace("_", "-"): value for name, value in headers.items()},
            data=b"{}" if method == "POST" else None,
        )

    def stream(self, path: str = "/chat/1", **headers: str) -> Any:
        """Return an asynchronous context manager that requests a stream."""
        return self.request("POST", path, X_Figshunt_Token_Counts="100,20", **headers)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll a condition until it holds.

    :raises TimeoutError: if it doesn't within ``WAIT_TIMEOUT_S``.
    """
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)
