"""A base test case with one entry host process between stand-ins."""

import asyncio
import tempfile
import unittest
from collections.abc import Mapping
from pathlib import Path

from figshunt.standins import PlatformRunner, PlatformStore
from tests.builders import build_raw_request
from tests.gateway.fixture import (
    CALLER_API_KEY,
    build_document,
    write_settings,
)
from tests.harness import (
    ManagedProcess,
    start_module,
)

# No request ends by its own limits, so that each missing answer is due to the host.
TIME_LIMIT_MS = 30_000

# A host that refuses a request says with this status that it has not run.
NOT_RUN_STATUS = 503


class EntryHostCase(unittest.IsolatedAsyncioTestCase):
    """Runs a host with one engine, ``e1``, and one runner without an engine, ``b1``.

    ``memory_mb`` is the memory that the settings tell the host.
    """

    memory_mb = 150

    async def asyncSetUp(self) -> None:
        # The loop's debug mode slows the runners, which share it, by a multiple.
        asyncio.get_running_loop().set_debug(False)
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.engine = self.build_engine()
        self.booking = self.build_booking_runner()
        for runner, pool in ((self.engine, "engines"), (self.booking, "bookings")):
            await runner.start()
            self.addAsyncCleanup(runner.stop)
            entry = runner.build_store_entry(pool, slots=1_000)
            self.store.put(f"servers/{runner.runner_id}", entry)
        document = build_document()
        for route in document["routes"]:
            route |= {"sloMs": TIME_LIMIT_MS, "timeoutMs": TIME_LIMIT_MS}
            if "gapTargetMs" in route:
                route["gapTargetMs"] = TIME_LIMIT_MS
        for service in document["services"]:
            service["maxConns"] = 1_000
        document["services"][0]["engine"] |= {"slots": 1_000, "kvCapacity": 10_000_000}
        self.document = document
        self.store.put("op/config", document)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.process, self.port = await self.start_host("front-1")

    async def start_host(self, name: str) -> tuple[ManagedProcess, int]:
        """Start a host; return its process and the port of its callers."""
        settings_path = self.directory / f"{name}.toml"
        write_settings(
            settings_path, self.store.port, host=name, memory_mb=self.memory_mb
        )
        process = await start_module(
            "figshunt", ["gateway", "--settings", str(settings_path)]
        )
        self.addAsyncCleanup(process.kill_and_wait)
        match = await process.wait_for_line(r"event=daemon_started.* front_port=(\d+)")
        await process.wait_for_line("event=runner_listed.*runner=e1")
        await process.wait_for_line("event=runner_listed.*runner=b1")
        return process, int(match[1])

    def build_engine(self) -> PlatformRunner:
        """Return the engine, which isn't started."""
        return PlatformRunner("e1", events=10, event_interval_ms=20)

    def build_booking_runner(self) -> PlatformRunner:
        """Return the runner without an engine, which isn't started."""
        return PlatformRunner("b1")

    @property
    def run_ids(self) -> set[str]:
        """Return the ids of the requests that were passed on to a runner."""
        return {
            arrival.request_id
            for runner in (self.engine, self.booking)
            for arrival in runner.arrivals
        }

    def build_stream(
        self,
        request_id: str,
        body: bytes = b"{}",
        *,
        path: str = "/chat/1",
        chunk_bytes: int | None = None,
    ) -> bytes:
        """Return a request that the engine answers with a stream."""
        headers = {"X-Figshunt-Token-Counts": "100,20"}
        return self._build(path, request_id, headers, body, chunk_bytes=chunk_bytes)

    def build_booking(self, request_id: str) -> bytes:
        """Return a request that is answered whole, with ``answer_bytes`` bytes."""
        return self._build("/book/1", request_id)

    def _build(
        self,
        path: str,
        request_id: str,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        chunk_bytes: int | None = None,
    ) -> bytes:
        common_headers = {
            "Host": "h.example",
            "X-Figshunt-Attempt-Id": request_id,
            "X-Figshunt-Deadline-Ms": str(TIME_LIMIT_MS),
            "Authorization": f"Token {CALLER_API_KEY}",
        }
        return build_raw_request(
            path, common_headers | dict(headers or {}), body, chunk_bytes=chunk_bytes
        )
