"""Processes whose callers send heads, lines or trailers without end."""

import asyncio
import re
import resource
import time
import unittest
from pathlib import Path

from tests.harness import (
    HostileCrowd,
    HostileRequest,
    ManagedProcess,
    open_raw_caller,
)
from tests.integration.cell_case import CellCase, build_call
from tests.integration.entry_host_case import EntryHostCase

LOOPBACK = "127.0.0.1"

# Limits of the processes, small enough that a small crowd reaches them on code that
# keeps what it receives. A process without requests takes 53 to 60 MB.
MEMORY_MB = 84
MAX_MEMORY_SHARE = 0.9
MAX_DESCRIPTORS = 192
MAX_DESCRIPTOR_SHARE = 0.9

CROWD = 32
IDLE_CROWD = 320
LOAD_S = 3.0

# Callers try again until then, however busy the machine is.
ANSWER_TIMEOUT_S = 60.0
TRY_TIMEOUT_S = 15.0

GET = b"GET /book/1 HTTP/1.1\r\nHost: h.example\r\n"
CHUNKED = (
    b"POST /book/1 HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
)
BLOCK_BYTES = 64 * 1024


def fill(piece: bytes) -> bytes:
    """Return a block of repeated pieces."""
    return piece * (BLOCK_BYTES // len(piece))


FLOODS = {
    "heads over the limit": HostileRequest(GET, b"X-A: " + b"x" * 8_000 + b"\r\n"),
    "one long line": HostileRequest(b"", fill(b"x")),
    "long target": HostileRequest(b"GET /", fill(b"x")),
    "long header name": HostileRequest(GET, fill(b"x")),
    "many headers": HostileRequest(GET, fill(b"X-A: b\r\n")),
    "folded lines": HostileRequest(GET + b"X-A: b\r\n", fill(b" \r\n")),
    "endless length": HostileRequest(GET + b"Content-Length: ", fill(b"0")),
    "empty lines": HostileRequest(b"", fill(b"\r\n")),
    "bare line feeds": HostileRequest(b"", fill(b"\n")),
    "trailers": HostileRequest(CHUNKED + b"0\r\n", fill(b"X-A: b\r\n")),
    "long trailer": HostileRequest(CHUNKED + b"0\r\nX-A: ", fill(b"x")),
    "chunk extensions": HostileRequest(CHUNKED + b"1;", fill(b"x")),
    "chunks with extensions": HostileRequest(
        CHUNKED, fill(b"1;" + b"x" * 997 + b"\r\na\r\n")
    ),
    "slow heads": HostileRequest(GET, b"X-A: b\r\n", pause_s=0.2),
    "large heads that stop": HostileRequest(
        GET, b"X-A: " + b"x" * 8_000 + b"\r\n", blocks=100
    ),
}


class HostileClientsCase(unittest.IsolatedAsyncioTestCase):
    """Checks what one process takes under a load, and that it serves callers."""

    memory_mb = MEMORY_MB

    async def start(self) -> tuple[ManagedProcess, int, bytes]:
        """Start a process; return it, its callers' port, and a call to serve."""
        raise NotImplementedError

    async def check(self, requests: list[HostileRequest]) -> None:
        """Check a new process under a load."""
        process, port, call = await self.start()
        try:
            await self.play(process, port, call, requests)
        finally:
            await process.kill_and_wait()

    async def play(
        self,
        process: ManagedProcess,
        port: int,
        call: bytes,
        requests: list[HostileRequest],
    ) -> None:
        """Send a load; a caller is served during it and afterwards."""
        limit = resource.RLIMIT_NOFILE
        resource.prlimit(process.pid, limit, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
        await self.check_served(port, call)
        descriptors = 0
        async with HostileCrowd(port, requests) as crowd:
            end_s = time.monotonic() + LOAD_S
            while time.monotonic() < end_s:
                await asyncio.sleep(0.2)
                descriptors = max(descriptors, self.count_descriptors(process))
            await self.check_served(port, call)
            descriptors = max(descriptors, self.count_descriptors(process))
        await self.check_served(port, call)
        peak_mb = self.read_peak_mb(process)
        print(f"peak {peak_mb} MB, {descriptors} descriptors,", end=" ")
        print(f"{crowd.sent_bytes >> 20} MB sent")
        self.assertIsNone(process.returncode)
        self.assertLess(peak_mb, MAX_MEMORY_SHARE * MEMORY_MB)
        self.assertLess(descriptors, MAX_DESCRIPTOR_SHARE * MAX_DESCRIPTORS)

    async def check_served(self, port: int, call: bytes) -> None:
        """Send a call until it is answered, as callers do."""
        seen = set()
        with self.subTest("an ordinary call"):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while 200 not in seen:
                    seen.add(await self.send(port, call))
                    await asyncio.sleep(0.2)

    async def send(self, port: int, call: bytes) -> int | None:
        """Return the status of the response, if there is one."""
        caller = await open_raw_caller(LOOPBACK, port)
        if caller is None:
            return None
        try:
            async with asyncio.timeout(TRY_TIMEOUT_S):
                return (await caller.exchange("", [call])).status
        except (TimeoutError, OSError):
            return None
        finally:
            caller.close()

    def count_descriptors(self, process: ManagedProcess) -> int:
        return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))

    def read_peak_mb(self, process: ManagedProcess) -> int:
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert match is not None
        return int(match[1]) // 1024


class HostileClientsTests(HostileClientsCase):
    """The tests of both front ends."""

    async def test_floods_leave_the_process_serving(self) -> None:
        """Guards against memory and time that grow with what a client sends."""
        for name, request in FLOODS.items():
            with self.subTest(name):
                await self.check([request] * CROWD)

    async def test_mixed_floods_leave_the_process_serving(self) -> None:
        """Guards against limits that hold for each kind of flood by itself."""
        requests = list(FLOODS.values())
        await self.check([requests[n % len(requests)] for n in range(2 * CROWD)])

    async def test_idle_connections_leave_descriptors_free(self) -> None:
        """Guards against connections without a request that keep callers out."""
        await self.check([HostileRequest(b"", b"\r\n", 3_600.0)] * IDLE_CROWD)


class GatewayHostileClientsTest(HostileClientsTests, EntryHostCase):
    """The listener of an entry host."""

    async def start(self) -> tuple[ManagedProcess, int, bytes]:
        process, port = await self.start_host("front-1")
        return process, port, self.build_booking("a1")


class CellHostileClientsTest(HostileClientsTests, CellCase):
    """The listener of a cell's daemon, which knows no memory and has defaults."""

    async def start(self) -> tuple[ManagedProcess, int, bytes]:
        fleet = await self.start_fleet()
        daemon = fleet.daemons_by_seat[0]
        return daemon.process, daemon.caller_port, build_call("a1")


del HostileClientsCase, HostileClientsTests

if __name__ == "__main__":
    unittest.main()
