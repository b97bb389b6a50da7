"""A cell of daemon processes with a fault proxy on every link."""

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

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class DaemonHandle:
    """A daemon process and the ports that it has bound."""

    def __init__(self, process: ManagedProcess, ports: Mapping[str, int]) -> None:
        self.process = process
        self.caller_port = ports["caller"]
        self.admin_port = ports["admin"]
        self.peer_port = ports.get("peer", 0)

    @property
    def caller_url(self) -> str:
        """Return the base URL of the caller listener."""
        return f"http://{LOOPBACK}:{self.caller_port}"

    @property
    def admin_url(self) -> str:
        """Return the base URL of the admin listener."""
        return f"http://{LOOPBACK}:{self.admin_port}"


class Fleet:
    """The daemon processes of one cell and a stand-in configuration service.

    There is one daemon for each seat. Each peer link in each direction, and each
    link from a daemon to the configuration service, has a :class:`FaultProxy` of
    its own, so that a test can inject faults into any of them.
    ``settings_overrides`` apply to daemons that are started afterwards. Use as an
    asynchronous context manager.
    """

    def __init__(
        self, documents: tuple[Mapping[str, Any], Mapping[str, Any]], seats: int = 3
    ) -> None:
        self.seats = range(seats)
        self.configuration = ConfigurationService(0)
        self.daemons_by_seat: dict[int, DaemonHandle] = {}
        self.peer_proxies: dict[tuple[int, int], FaultProxy] = {}
        self.configuration_proxies: dict[int, FaultProxy] = {}
        self.settings_overrides: dict[str, Any] = {}
        self._documents = documents
        self._directory = tempfile.TemporaryDirectory()
        self._processes: list[ManagedProcess] = []
        self._start_count = 0

    async def __aenter__(self) -> "Fleet":
        """Start all parts and wait until every daemon is ready."""
        await self.configuration.start()
        self.publish(self._documents)
        for seat in self.seats:
            proxy = FaultProxy(self.configuration.port)
            self.configuration_proxies[seat] = await proxy.start()
            for other in self.seats:
                if other != seat:
                    self.peer_proxies[seat, other] = await FaultProxy().start()
        await asyncio.gather(*(self.start_daemon(seat) for seat in self.seats))
        await asyncio.gather(*(self.wait_until_ready(seat) for seat in self.seats))
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """End all daemons and stop the proxies and the configuration service."""
        for process in self._processes:
            await process.kill_and_wait()
        for proxy in (
            *self.peer_proxies.values(),
            *self.configuration_proxies.values(),
        ):
            await proxy.stop()
        await self.configuration.stop()
        self._directory.cleanup()

    def publish(self, documents: tuple[Mapping[str, Any], Mapping[str, Any]]) -> None:
        """Publish the routes document, then the pools document, as operators do."""
        for name, document in zip(("routes", "pools"), documents, strict=True):
            self.configuration.publish(name, json.dumps(document))

    async def start_daemon(self, seat: int) -> DaemonHandle:
        """Start a daemon in a seat and direct the peer proxies to its port."""
        process = await start_module(
            "figshunt", ["serve", str(self._write_settings(seat))]
        )
        self._processes.append(process)
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

    async def wait_until_ready(
        self, seat: int, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        """Wait until the daemon's ``/readyz`` answers with status 200.

        :raises TimeoutError: if it does not within ``timeout_s``.
        """
        url = f"{self.daemons_by_seat[seat].admin_url}/readyz"
        async with aiohttp.ClientSession() as session, asyncio.timeout(timeout_s):
            while True:
                async with session.get(url) as response:
                    if response.status == 200:
                        return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def fetch_status(self, seat: int) -> dict[str, Any]:
        """Return the decoded ``/status`` document of a daemon."""
        url = f"{self.daemons_by_seat[seat].admin_url}/status"
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            decoded: dict[str, Any] = await response.json()
            return decoded

    async def kill(self, seat: int) -> None:
        """Kill a daemon with SIGKILL and wait until its process has ended."""
        process = self.daemons_by_seat[seat].process
        process.signal(signal.SIGKILL)
        await process.wait()

    def pause(self, seat: int) -> None:
        """Suspend a daemon's process with SIGSTOP."""
        self.daemons_by_seat[seat].process.signal(signal.SIGSTOP)

    def resume(self, seat: int) -> None:
        """Resume a suspended daemon with SIGCONT."""
        self.daemons_by_seat[seat].process.signal(signal.SIGCONT)

    def partition(self, side: Sequence[int]) -> None:
        """Cut every peer link between ``side`` and the other seats."""
        for (seat, other), proxy in self.peer_proxies.items():
            if (seat in side) != (other in side):
                proxy.cut()

    def heal(self) -> None:
        """Restore every peer link."""
        for proxy in self.peer_proxies.values():
            proxy.restore()

    def _write_settings(self, seat: int) -> Path:
        self._start_count += 1
        path = Path(self._directory.name) / f"seat-{seat}-{self._start_count}.json"
        document = build_settings_document(
            host=f"host-{seat}-{self._start_count}",
            seat=seat,
            peers=[
                {"seat": other, "ip": LOOPBACK, "port": proxy.port}
                for (source, other), proxy in self.peer_proxies.items()
                if source == seat
            ],
            configuration_url=self._configuration_url(seat),
            host_list_url=self._configuration_url(seat),
            **self.settings_overrides,
        )
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    def _configuration_url(self, seat: int) -> str:
        return f"http://{LOOPBACK}:{self.configuration_proxies[seat].port}"


def create_seeded_random(seed: int) -> random.Random:
    """Return a seeded generator; print the seed so that a run can be repeated."""
    print(f"seed={seed}")
    return random.Random(seed)
