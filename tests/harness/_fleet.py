"""A fleet of real daemon processes with a fault proxy on every link."""

import asyncio
import json
import random
import re
import signal
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import aiohttp

from figshunt.standins import ConfigurationService
from tests.builders import build_settings_document
from tests.harness._fault_proxy import LOOPBACK, FaultProxy
from tests.harness._processes import ManagedProcess, start_module

READY_LIMIT_S = 30.0
POLL_S = 0.05


class DaemonHandle:
    """One daemon process and its bound ports."""

    def __init__(self, process: ManagedProcess, ports: Mapping[str, int]) -> None:
        self.process = process
        self.caller_port = ports["caller"]
        self.admin_port = ports["admin"]
        self.peer_port = ports.get("peer", 0)

    @property
    def caller_url(self) -> str:
        """Return the base URL for callers."""
        return f"http://{LOOPBACK}:{self.caller_port}"

    @property
    def admin_url(self) -> str:
        """Return the base URL for administration."""
        return f"http://{LOOPBACK}:{self.admin_port}"


class Fleet:
    """Daemons of one cell, one for each seat, and the configuration service.

    Every peer link, and every daemon's link to the configuration service,
    runs through a :class:`FaultProxy` of its own, so that a test can cut any
    of them. Use as an asynchronous context manager.
    """

    def __init__(
        self, documents: tuple[Mapping[str, Any], Mapping[str, Any]], seats: int = 3
    ) -> None:
        self.seats = range(seats)
        self.configuration = ConfigurationService(0)
        self.daemons_by_seat: dict[int, DaemonHandle] = {}
        self.peer_proxies: dict[tuple[int, int], FaultProxy] = {}
        self.configuration_proxies: dict[int, FaultProxy] = {}
        self.settings_changes: dict[str, Any] = {}
        self._documents = documents
        self._directory = tempfile.TemporaryDirectory()
        self._started: list[ManagedProcess] = []
        self._generation = 0

    async def __aenter__(self) -> "Fleet":
        """Start the configuration service, the proxies and every daemon."""
        await self.configuration.start()
        self.publish(self._documents)
        for seat in self.seats:
            proxy = FaultProxy(self.configuration.port)
            self.configuration_proxies[seat] = await proxy.start()
            for other in self.seats:
                if other != seat:
                    self.peer_proxies[seat, other] = await FaultProxy().start()
        await asyncio.gather(*(self.start_daemon(seat) for seat in self.seats))
        await asyncio.gather(*(self.wait_ready(seat) for seat in self.seats))
        return self

    async def __aexit__(self, *_details: object) -> None:
        """End every process that was started."""
        for process in self._started:
            await process.end()
        for proxy in (
            *self.peer_proxies.values(),
            *self.configuration_proxies.values(),
        ):
            await proxy.stop()
        await self.configuration.stop()
        self._directory.cleanup()

    def publish(self, documents: tuple[Mapping[str, Any], Mapping[str, Any]]) -> None:
        """Publish both tables as operators do, one after the other."""
        for name, document in zip(("routes", "pools"), documents, strict=True):
            self.configuration.publish(name, json.dumps(document))

    async def start_daemon(self, seat: int) -> DaemonHandle:
        """Start a new process in a seat and point the proxies at it."""
        process = await start_module("figshunt", ["serve", str(self._write(seat))])
        self._started.append(process)
        match = await process.wait_for_line("event=daemon_started.*")
        ports = {
            name: int(port)
            for name, port in re.findall(r"(\w+)_port=(\d+)", match.group(0))
        }
        handle = DaemonHandle(process, ports)
        self.daemons_by_seat[seat] = handle
        for (_, other), proxy in self.peer_proxies.items():
            if other == seat:
                proxy.target_port = handle.peer_port
        return handle

    async def wait_ready(self, seat: int, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until the daemon reports that it is ready."""
        url = f"{self.daemons_by_seat[seat].admin_url}/readyz"
        async with aiohttp.ClientSession() as session, asyncio.timeout(limit_s):
            while True:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(POLL_S)

    async def status(self, seat: int) -> dict[str, Any]:
        """Return what the daemon's ``/status`` says."""
        url = f"{self.daemons_by_seat[seat].admin_url}/status"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            decoded: dict[str, Any] = await response.json()
            return decoded

    async def kill(self, seat: int) -> None:
        """End a daemon without warning."""
        process = self.daemons_by_seat[seat].process
        process.signal(signal.SIGKILL)
        await process.wait()

    def pause(self, seat: int) -> None:
        """Stop a daemon's process from running."""
        self.daemons_by_seat[seat].process.signal(signal.SIGSTOP)

    def resume(self, seat: int) -> None:
        """Let a paused daemon run again."""
        self.daemons_by_seat[seat].process.signal(signal.SIGCONT)

    def partition(self, side: Sequence[int]) -> None:
        """Cut every peer link between ``side`` and the other seats."""
        for (one, other), proxy in self.peer_proxies.items():
            if (one in side) != (other in side):
                proxy.cut()

    def heal(self) -> None:
        """Restore every peer link."""
        for proxy in self.peer_proxies.values():
            proxy.restore()

    def _write(self, seat: int) -> Path:
        self._generation += 1
        path = Path(self._directory.name) / f"seat-{seat}-{self._generation}.json"
        document = build_settings_document(
            host=f"host-{seat}-{self._generation}",
            seat=seat,
            peers=[
                {"seat": other, "ip": LOOPBACK, "port": proxy.port}
                for (one, other), proxy in self.peer_proxies.items()
                if one == seat
            ],
            configuration_url=self._configuration_url(seat),
            host_list_url=self._configuration_url(seat),
            **self.settings_changes,
        )
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def _configuration_url(self, seat: int) -> str:
        return f"http://{LOOPBACK}:{self.configuration_proxies[seat].port}"


def seeded(seed: int) -> random.Random:
    """Return a random source and print its seed, for failing runs."""
    print(f"seed={seed}")
    return random.Random(seed)
