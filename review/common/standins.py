"""Stand-ins for the platform of the review's scripts: store, runners, consumers.

Only the standard library is used. The entry hosts are the project's own processes,
started with the command of the deploy file; everything else lives in the process of
the script. All addresses are loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HEARTBEAT_S = 1.2

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be set up, so nothing can be said about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start_s

    def write(self, event: str, **fields: object) -> None:
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {event} {pairs}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


@dataclass
class HttpMessage:
    """A request or an answer as read from a connection."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    return HttpMessage(start, headers)


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


async def read_request(reader: asyncio.StreamReader) -> HttpMessage:
    message = await read_head(reader)
    if "chunked" in message.header("Transfer-Encoding").lower():
        message.body = await read_chunks(reader)
    elif length := int(message.header("Content-Length", "0")):
        message.body = await reader.readexactly(length)
    return message


def build_answer(
    status: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """A TCP listener whose connections can be reset together."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server: asyncio.Server | None = None
        self.ip = "127.0.0.1"
        self.port = 0

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError

    async def listen(self) -> None:
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, backlog=512, limit=8 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            await self.handle(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def reset_all(self) -> None:
        """Reset all connections, as the kernel does for a process that is gone."""
        for writer in tuple(self.writers):
            reset(writer)
        for task in tuple(self._tasks):
            task.cancel()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()


def reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class StoreDoor(Listener):
    """The store's address as one entry host sees it.

    ``is_cut`` plays a partition between that host and the store: nothing is
    answered, and what was waiting is never answered.
    """

    def __init__(self, store: "Store") -> None:
        super().__init__()
        self._store = store
        self.is_cut = False
        self.cuts = 0

    def cut(self) -> None:
        self.is_cut = True
        self.cuts += 1

    def heal(self) -> None:
        """End the partition; what was sent during it is lost with its channel."""
        self.is_cut = False

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        cuts = self.cuts
        while True:
            request = await read_request(reader)
            target = urllib.parse.urlsplit(request.start.split(" ")[1])
            query = dict(urllib.parse.parse_qsl(target.query, keep_blank_values=True))
            status, document = await self._store.answer(target.path, query)
            if self.is_cut or self.cuts != cuts:
                await asyncio.Event().wait()
            body = json.dumps(document).encode()
            headers = [("Content-Type", "application/json")]
            writer.write(build_answer(status, headers, body))
            await writer.drain()


class Store:
    """The platform's store; all doors show the same items."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: dict[str, Any]) -> None:
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(value).encode()).decode(),
            "rev": self.revision,
            "created": self._items.get(key, {}).get("created", self.revision),
            "lease": 0,
        }
        self._items[key] = item
        self._append(item)

    def delete(self, key: str) -> None:
        self.revision += 1
        del self._items[key]
        self._append({"key": key, "rev": self.revision, "deleted": True})
        self._record.write("store_delete", key=key, rev=self.revision)

    def _append(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, path: str, query: dict[str, str]) -> tuple[str, Any]:
        prefix = query.get("prefix", "")
        if path == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return "404 Not Found", {"asOf": self.revision}
            return "200 OK", item | {"asOf": self.revision}
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self._items
                if key.startswith(prefix) and key > query.get("after", "")
            )
            return "200 OK", {
                "items": [self._items[key] for key in keys[:500]],
                "hasMore": len(keys) > 500,
                "asOf": self.revision,
            }
        after = int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while not self._events(prefix, after):
                    await self._changed.wait()
        return "200 OK", {
            "events": self._events(prefix, after),
            "asOf": self.revision,
        }

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._history
            if event["rev"] > after and event["key"].startswith(prefix)
        ]


@dataclass
class Arrival:
    """A request that a runner began to work on."""

    at_s: float
    attempt_id: str
    is_answered: bool = False


class Runner(Listener):
    """A sound runner; ``crash`` and ``exit_process`` end it."""

    def __init__(
        self,
        record: Record,
        store: Store,
        runner_id: str,
        service: str,
        zone: str,
        slots: int,
        work_s: float = 0.02,
        events: int = 6,
    ) -> None:
        super().__init__()
        self.record = record
        self.store = store
        self.runner_id = runner_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.events = events
        self.answer_bytes = 800
        self.arrivals: list[Arrival] = []
        self.crashes_on: Callable[[HttpMessage], bool] = lambda request: False
        self.crash_down_s = 3.0
        self.crash_times: list[float] = []
        self.is_listed = False
        self.state = "ready"
        self._born = int(time.time() * 1000) - 600_000
        self._seq = 1
        self._running = 0
        self._writes: asyncio.Task[None] | None = None
        self._restart: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.listen()
        self.list_entry()
        self._writes = asyncio.create_task(self._write_entries())

    def build_entry(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "addr": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self._born,
        }

    def list_entry(self) -> None:
        self.is_listed = True
        self.store.put(f"servers/{self.runner_id}", self.build_entry())

    def report_draining(self) -> None:
        self.state = "draining"
        self._seq += 1
        self.list_entry()

    def unlist(self) -> None:
        """Remove the entry, as a runner does that never reports ``draining``."""
        self.is_listed = False
        self.store.delete(f"servers/{self.runner_id}")

    async def _write_entries(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_listed and self._server is not None:
                self._seq += 1
                self.list_entry()

    def exit_process(self) -> None:
        """End the process for good."""
        self.record.write("runner_exits", runner=self.runner_id)
        self.close()

    def crash(self) -> None:
        """End the process at once; it is back after ``crash_down_s``."""
        if self._server is None:
            return
        self.crash_times.append(self.record.now())
        self.record.write("runner_crashes", runner=self.runner_id)
        self.close()
        self._restart = asyncio.create_task(self._come_back())

    async def _come_back(self) -> None:
        await asyncio.sleep(self.crash_down_s)
        self._born = int(time.time() * 1000)
        self._seq = 1
        await self.listen()
        self.list_entry()
        self.record.write("runner_back", runner=self.runner_id)

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_request(reader)
            await self._answer(request, writer)

    async def _answer(
        self, request: HttpMessage, writer: asyncio.StreamWriter
    ) -> None:
        attempt_id = request.header("X-Figshunt-Attempt-Id")
        headers = [("X-Figshunt-Attempt-Id", attempt_id)]
        expected = request.header("X-Figshunt-Expect-Instance", self.runner_id)
        if expected != self.runner_id:
            writer.write(build_answer("421 Misdirected Request", headers))
            return
        if self._running >= self.slots:
            headers.append(("X-Figshunt-Not-Executed", "1"))
            writer.write(build_answer("503 Service Unavailable", headers))
            return
        arrival = Arrival(self.record.now(), attempt_id)
        self.arrivals.append(arrival)
        self.record.write("run", runner=self.runner_id, id=attempt_id)
        self._running += 1
        try:
            if self.crashes_on(request):
                await asyncio.sleep(0.03)
                self.crash()
                return
            stamp = f"stamp-{self.runner_id}-{attempt_id}"
            headers.append(("X-Figshunt-Server-Stamp", stamp))
            headers.append(
                ("X-Figshunt-Instance-Load", f"{self._running},0,{self.slots}")
            )
            if request.header("X-Figshunt-Token-Counts"):
                await self._stream(request, headers, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = (attempt_id.encode() + b".") * self.answer_bytes
                writer.write(build_answer("200 OK", headers, body[: self.answer_bytes]))
                await writer.drain()
            arrival.is_answered = True
            self.record.write("run_ended", runner=self.runner_id, id=attempt_id)
        finally:
            self._running -= 1

    async def _stream(
        self,
        request: HttpMessage,
        headers: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> None:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Transfer-Encoding: chunked")
        first = int(request.header("Last-Event-Id", "0")) + 1
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class EntryHost:
    """One entry host: a process of the project, with its own address."""

    def __init__(
        self, record: Record, store: Store, index: int, directory: Path, zone: str
    ) -> None:
        self.record = record
        self.name = f"front-{zone}-{index + 1}"
        self.zone = zone
        # Addresses of its own for each run, as the metrics port is the same for all.
        process_id = os.getpid()
        self.ip = f"127.{1 + process_id // 250 % 250}.{1 + process_id % 250}.{index + 1}"
        self.door = StoreDoor(store)
        self.process: asyncio.subprocess.Process | None = None
        self.peak_kb = 0
        self._directory = directory
        self.settings_path = directory / f"{self.name}.toml"
        self.memory_mb = 150

    async def write_settings(self, ports: "Ports", seeds: list[str]) -> None:
        await self.door.listen()
        self.ports = ports
        self.settings_path.write_text(
            SETTINGS.format(
                node=self.name,
                ip=self.ip,
                zone=self.zone,
                front=ports.front,
                ready=ports.ready,
                control=ports.control,
                first_port=ports.first,
                last_port=ports.first + 15,
                memory_mb=self.memory_mb,
                seeds=json.dumps([f"{seed}:{ports.control}" for seed in seeds]),
                store=f"127.0.0.1:{self.door.port}",
            ),
            encoding="utf-8",
        )

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["FIGSHUNT_SETTINGS"] = str(self.settings_path)
        log = (self._directory / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.record.write("host_started", host=self.name, pid=self.process.pid)

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Poll the readiness address as the platform does, but more often."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError, EOFError, ValueError):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports.ready
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if " 200 " in head.start:
                    self.record.write("host_ready", host=self.name)
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} isn't ready")

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.record.write("signal", host=self.name, signal=number.name)
            self.process.send_signal(number)

    async def wait_ended(self, timeout_s: float = 15.0) -> None:
        assert self.process is not None
        async with asyncio.timeout(timeout_s):
            await self.process.wait()
        self.record.write(
            "host_ended", host=self.name, status=self.process.returncode
        )

    def resident_kb(self) -> int:
        """Return the resident memory, 0 if the process has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().split("\n"):
                if line.startswith("VmRSS:"):
                    return int(line.split()[1])
        return 0

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()
        self.door.close()


@dataclass
class Ports:
    front: int
    ready: int
    control: int
    first: int


def find_ports(ips: list[str]) -> Ports:
    """Return ports that are free on all these addresses."""

    def is_free(port: int, kind: socket.SocketKind) -> bool:
        for ip in ips:
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
        return True

    start = 20_000 + os.getpid() * 37 % 9_000
    free = [
        port
        for port in range(start, start + 200)
        if is_free(port, socket.SOCK_STREAM) and is_free(port, socket.SOCK_DGRAM)
    ]
    if len(free) < 20:
        raise CannotRunError("no free ports")
    return Ports(free[0], free[1], free[2], free[3])


@dataclass
class Reply:
    """What a consumer got for one request."""

    attempt_id: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    ended_s: float = 0.0
    error: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)


class Consumer:
    """A consumer with one kept channel, which it opens again when it was closed."""

    def __init__(self, record: Record, host: EntryHost) -> None:
        self.record = record
        self.host = host
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        attempt_id: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        deadline_ms: int = 5000,
        extra: tuple[tuple[str, str], ...] = (),
        read_pause_s: float = 0.0,
    ) -> Reply:
        reply = Reply(attempt_id, self.record.now())
        self.record.write(
            "sent", id=attempt_id, host=self.host.name, path=path, bytes=len(body)
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                await self._exchange(
                    reply, method, path, body, deadline_ms, extra, read_pause_s
                )
        except (OSError, EOFError, ValueError, TimeoutError) as error:
            reply.error = type(error).__name__
            self.close()
        reply.ended_s = self.record.now()
        self.record.write(
            "answered",
            id=attempt_id,
            status=reply.status,
            complete=reply.is_complete,
            bytes=len(reply.body),
            error=reply.error or "-",
        )
        return reply

    async def _exchange(
        self,
        reply: Reply,
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        extra: tuple[tuple[str, str], ...],
        read_pause_s: float,
    ) -> None:
        if self._writer is None or self._writer.is_closing() or self._reader.at_eof():
            self.close()
            self._reader, self._writer = await asyncio.open_connection(
                self.host.ip, self.host.ports.front
            )
        reader, writer = self._reader, self._writer
        headers = [
            ("Host", HOST_NAME),
            ("X-Figshunt-Attempt-Id", reply.attempt_id),
            ("X-Figshunt-Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Token {KEY}"),
            *extra,
        ]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        writer.write(head + (body if method != "GET" else b""))
        await writer.drain()
        answer = await read_head(reader)
        reply.status = int(answer.start.split(" ")[1])
        reply.headers = answer.headers
        if "chunked" in answer.header("Transfer-Encoding").lower():
            reply.body = await read_chunks(reader)
        else:
            left = int(answer.header("Content-Length", "0"))
            while left:
                data = await reader.read(min(left, 64 * 1024))
                if not data:
                    raise EOFError
                reply.body += data
                left -= len(data)
                if read_pause_s:
                    await asyncio.sleep(read_pause_s)
        reply.is_complete = True
        if answer.header("Connection").lower() == "close":
            self.close()

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def build_configuration(version: int = 7) -> dict[str, Any]:
    """Return a configuration with the values of the published example."""
    shared = {"host": HOST_NAME, "public": False}
    return {
        "version": version,
        "routes": [
            shared
            | {
                "name": "letter",
                "prefix": "/letter/",
                "kind": "stream",
                "timeoutMs": 5000,
                "sloMs": 1500,
                "priority": 2,
                "service": "draft-llm",
                "maxAttempts": 2,
                "sticky": True,
                "resumable": True,
                "gapTargetMs": 800,
            },
            shared
            | {
                "name": "book",
                "prefix": "/book/",
                "kind": "unsafe",
                "timeoutMs": 1000,
                "sloMs": 125,
                "priority": 2,
                "service": "booking-app",
                "maxAttempts": 1,
                "sticky": False,
            },
            shared
            | {
                "name": "look",
                "prefix": "/look/",
                "kind": "safe",
                "timeoutMs": 1000,
                "sloMs": 125,
                "priority": 2,
                "service": "booking-app",
                "maxAttempts": 2,
                "sticky": False,
            },
            shared
            | {
                "name": "upload",
                "prefix": "/upload/",
                "kind": "unsafe",
                "timeoutMs": 15000,
                "sloMs": 1500,
                "priority": 2,
                "service": "booking-app",
                "maxAttempts": 1,
                "sticky": False,
            },
        ],
        "services": [
            {
                "name": "draft-llm",
                "healthPath": "/health",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
                "coldS": 0.0,
                "coldPerS": 0.0,
                "engine": {
                    "slots": 64,
                    "kvCapacity": 261949,
                    "kvTokenBytes": 163840,
                    "linkMbps": 280000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 4,
                    "most": 12,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": "booking-app",
                "healthPath": "/health",
                "maxConns": 100,
                "protocol": "h1",
                "tls": False,
                "coldS": 0.0,
                "coldPerS": 0.0,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


SETTINGS = """\
node = "{node}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "accra"
portRange = [{first_port},{last_port}]
seeds = {seeds}
bootstrap = true
inFailureBudget = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
accra-a = "accra"
accra-b = "accra"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
budgetWindowS = 10
retrySlack = 54
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 6.3
[provider]
addr = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class Deployment:
    """Entry hosts, runners and the store of one script."""

    def __init__(self, record: Record, host_count: int) -> None:
        self.record = record
        self.store = Store(record)
        self.directory = Path(tempfile.mkdtemp(prefix="figshunt-review-"))
        zones = ("accra-a", "accra-b")
        self.hosts = [
            EntryHost(record, self.store, index, self.directory, zones[index % 2])
            for index in range(host_count)
        ]
        self.runners: list[Runner] = []

    def add_runner(self, *arguments: Any, **options: Any) -> Runner:
        runner = Runner(self.record, self.store, *arguments, **options)
        self.runners.append(runner)
        return runner

    async def start(self) -> None:
        for runner in self.runners:
            await runner.start()
        self.store.put("op/config", build_configuration())
        ips = [host.ip for host in self.hosts]
        ports = find_ports(ips)
        for host in self.hosts:
            await host.write_settings(ports, ips[:3])
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def end(self) -> None:
        for host in self.hosts:
            await host.end()
        for runner in self.runners:
            for task in (runner._writes, runner._restart):
                if task is not None:
                    task.cancel()
            runner.close()
        if os.environ.get("KEEP_LOGS"):
            self.record.write("logs", directory=self.directory.name)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run_case(
    case: Path, play: Callable[[Record], Any], time_limit_s: float = 110.0
) -> None:
    """Run a case and exit with its status.

    ``play`` returns the list of what broke the rule; it is empty if the rule held.
    """
    record = Record(case / "record.txt")
    # A run that is terminated ends what it started, as after a keyboard interrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def bounded() -> list[str]:
        async with asyncio.timeout(time_limit_s):
            result: list[str] = await play(record)
            return result

    try:
        broken = asyncio.run(bounded())
    except (Exception, KeyboardInterrupt) as error:
        # Whatever goes wrong in the script itself says nothing about the rule.
        record.write("cannot_run", error=f"{type(error).__name__}:{error}")
        print(f"cannot run: {type(error).__name__}: {error}")
        sys.exit(EXIT_NOT_RUN)
    for line in broken[:20]:
        record.write("broken", what=line)
        print(line)
    record.write("result", broken=len(broken), trouble=TROUBLE)
    print(f"trouble={TROUBLE} broken={len(broken)}")
    record.close()
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
