"""Stand-ins and entry host processes for the cases of the third review.

Only the standard library is used. The stand-ins follow the pages of the platform: a
store that is read by lists and watches, runners that answer plain requests, and
consumers that send requests at fixed times on kept channels.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
STORE_IP = "127.0.0.1"
HOST = "shop.example"
KEY = "key-of-the-first-team"
HEARTBEAT_S = 1.2

COULD_NOT_RUN = 2


class CannotRunError(Exception):
    """The case could not be played."""


def free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
        return port


def free_common_port(ips: list[str]) -> int:
    """Return a port that is free at several addresses, for TCP and UDP."""
    for _ in range(200):
        port = free_port(ips[0])
        sockets = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probe = socket.socket(socket.AF_INET, kind)
                    sockets.append(probe)
                    probe.bind((ip, port))
            return port
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRunError("no common free port")


class Record:
    """The file in which a case notes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in s."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: object) -> float:
        """Write one line and return its time."""
        now_s = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now_s:9.4f} {event} {text}\n")
        return now_s

    def say(self, text: str) -> None:
        """Write a line to the file and to standard output."""
        self.write("note", text=text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(slots=True)
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Read a message with a length or chunks, or return ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            body += data[:-2]
    elif headers.get("content-length"):
        body = await reader.readexactly(int(headers["content-length"]))
    return start, headers, body


def encode_answer(status: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return an HTTP response with a length."""
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """An HTTP server that answers one request after the other on a channel."""

    def __init__(self, ip: str = STORE_IP) -> None:
        self.ip = ip
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address as IP:PORT."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def silence_channels(self) -> int:
        """Send nothing more on the channels that are open now; return their number.

        They aren't reset, and new channels work.
        """
        self._silent_writers |= self._writers
        return len(self._writers)

    async def stop(self) -> None:
        """Stop listening and reset all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                start, headers, body = message
                method, target, _ = start.split(" ", 2)
                request = Request(method, target, headers, body)
                data = await self.answer(request, reader, writer)
                if data is None:
                    return
                if writer in self._silent_writers:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return
        except asyncio.CancelledError:
            # The case has ended.
            return
        finally:
            self._writers.discard(writer)
            self._silent_writers.discard(writer)
            writer.close()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        """Return the response to a request, or ``None`` to close the channel."""
        raise NotImplementedError


class Store(Server):
    """The platform's store. While ``is_down`` is set, it answers 503."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        self._revision = 10
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write an item, which acknowledges it."""
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("created", self._revision)
        item = {"key": key, "value": text, "rev": self._revision}
        item |= {"created": created, "lease": 0}
        self._items[key] = item
        self._add_event(item)

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._add_event({"key": key, "rev": self._revision, "deleted": True})

    def _add_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        """Answer a list or a watch."""
        if self.is_down:
            return encode_answer("503 Service Unavailable", {}, b"")
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("prefix", "")
        if parts.path == "/kv-range":
            after = query.get("after", "")
            keys = [k for k in sorted(self._items) if k.startswith(prefix)]
            keys = [k for k in keys if k > after]
            document: dict[str, Any] = {
                "items": [self._items[k] for k in keys[:500]],
                "hasMore": len(keys) > 500,
                "asOf": self._revision,
            }
        elif parts.path == "/kv-watch":
            after_revision = int(query["after"])
            end_s = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [
                    event
                    for event in self._history
                    if event["rev"] > after_revision
                    and event["key"].startswith(prefix)
                ]
                left_s = end_s - time.monotonic()
                if events or left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    continue
            document = {"events": events, "asOf": self._revision}
        else:
            return encode_answer("404 Not Found", {}, b"")
        body = json.dumps(document).encode()
        return encode_answer("200 OK", {"Content-Type": "application/json"}, body)


@dataclass(slots=True)
class Arrival:
    """A request that reached a runner."""

    time_s: float
    request_id: str
    has_run: bool


class Runner(Server):
    """A runner of a plain service, which registers itself in the store.

    It runs each request for ``work_s``. All its answers name ``limit_per_s`` if that is
    set. It is cold until ``cold_until_s`` of the steady clock.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str, zone: str
    ) -> None:
        super().__init__()
        self.runner_id = name
        self.service = service
        self.zone = zone
        self.slots = 64
        self.work_s = 0.02
        self.state = "ready"
        self.limit_per_s: float | None = None
        self.cold_until_s = 0.0
        self.born = int(time.time() * 1000)
        self.arrivals: list[Arrival] = []
        self.running = 0
        self._store = store
        self._record = record
        self._written: dict[str, Any] | None = None
        self._heartbeat: asyncio.Task[None] | None = None

    @property
    def cold_left_ms(self) -> int:
        """Return how much longer the runner stays cold."""
        return max(0, int((self.cold_until_s - time.monotonic()) * 1000))

    def check_in(self) -> None:
        """Write the entry if more than its sequence number has changed."""
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": self.cold_left_ms,
            "born": self.born,
        }
        if entry != self._written and not self._store.is_down:
            self._written = entry
            self._store.put(f"servers/{self.runner_id}", entry | {"seq": 1})
            self._record.write("entry", runner=self.runner_id, **entry)

    async def join(self) -> None:
        """Start the server, register it and check in from time to time."""
        await self.start()
        self.check_in()
        self._heartbeat = asyncio.create_task(self._check_in_regularly())

    async def _check_in_regularly(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.check_in()

    async def leave(self, drain_s: float) -> None:
        """Leave as planned: drain, lose the entry, serve a little longer and exit."""
        self.state = "draining"
        self.check_in()
        await asyncio.sleep(drain_s)
        self.forget_entry()
        await asyncio.sleep(0.5)
        await self.stop()

    def forget_entry(self) -> None:
        """Remove the entry."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        self._store.delete(f"servers/{self.runner_id}")
        self._record.write("entry_removed", runner=self.runner_id)

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes | None:
        """Run a request, or turn it away if it is for another runner."""
        request_id = request.headers.get("x-figshunt-attempt-id", "")
        headers = {"X-Figshunt-Attempt-Id": request_id}
        if self.limit_per_s is not None:
            headers["Server-Limit"] = f"{self.limit_per_s:g}"
        if request.target == "/health":
            headers = {"X-Figshunt-Instance-Id": self.runner_id}
            if self.cold_left_ms:
                headers["X-Figshunt-Cold-Ms"] = str(self.cold_left_ms)
            return encode_answer("200 OK", headers, b"")
        expected = request.headers.get("x-figshunt-expect-instance")
        has_run = expected in (None, self.runner_id)
        arrival = Arrival(self._record.now(), request_id, has_run)
        self.arrivals.append(arrival)
        self._record.write(
            "arrival", runner=self.runner_id, request=request_id, run=has_run
        )
        if not has_run:
            return encode_answer("421 Misdirected Request", headers, b"")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers["X-Figshunt-Server-Stamp"] = f"stamp.{self.runner_id}.{request_id}"
        headers["X-Figshunt-Instance-Load"] = f"{self.running},0,{self.slots}"
        return encode_answer("200 OK", headers, b"answer to " + request_id.encode())


SETTINGS = """
node = "{name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "here"
portRange = [{peer_port},{peer_port}]
metricsPort = {metrics_port}
seeds = [{seeds}]
bootstrap = true
inFailureBudget = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","tenants","platform"]
[zones]
{zones}
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
control = "{ip}:{control_port}"
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


class EntryHost:
    """An entry host, started as the deploy file says."""

    def __init__(self, name: str, ip: str, zone: str, record: Record) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.front_port = 0
        self.ready_port = 0
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._settings: Path | None = None
        self._log: Any = None

    def prepare(self, folder: Path, **fields: object) -> None:
        """Write the settings file."""
        self.front_port = int(str(fields["front_port"]))
        self.ready_port = int(str(fields["ready_port"]))
        self._settings = folder / f"{self.name}.toml"
        text = SETTINGS.format(name=self.name, ip=self.ip, zone=self.zone, **fields)
        self._settings.write_text(text, encoding="utf-8")
        self._log = (folder / f"{self.name}.log").open("ab")

    async def start(self) -> None:
        """Start the process."""
        assert self._settings is not None
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FIGSHUNT_SETTINGS": str(self._settings),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
        }
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "target/app/gateway.py",
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )
        self._record.write("host_started", host=self.name, pid=self.process.pid)

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until the readiness address answers 200."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if self.process is not None and self.process.returncode is not None:
                raise CannotRunError(f"{self.name} ended while it started")
            if await self._is_ready():
                self._record.write("host_ready", host=self.name)
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} didn't become ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        except OSError:
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: h\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1.0)
            return message is not None and " 200 " in message[0] + " "
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record.write("signal", host=self.name, signal=number.name)
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def peak_memory_mb(self) -> float | None:
        """Return the largest resident size so far, or ``None`` if it has ended."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        except OSError:
            return None
        for line in text.splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return None


@dataclass(slots=True)
class Sent:
    """A request that a consumer sent, and what became of it.

    ``status`` is 0 if the channel ended without a complete answer.
    """

    request_id: str
    host: str
    sent_s: float
    status: int | None = None
    answered_s: float | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Consumers:
    """Consumers that send requests to entry hosts on kept channels."""

    def __init__(self, hosts: list[EntryHost], record: Record) -> None:
        self.sent: dict[str, Sent] = {}
        self._hosts = hosts
        self._record = record
        self._idle: dict[str, list[Any]] = {host.name: [] for host in hosts}
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def send_at_rate(
        self,
        per_s: float,
        duration_s: float,
        method: str,
        path: str,
        time_limit_ms: int,
        body: bytes = b"",
    ) -> None:
        """Send requests at a fixed rate, in turn to all hosts."""
        started_s = time.monotonic()
        number = 0
        while True:
            due_s = started_s + number / per_s
            if due_s > started_s + duration_s:
                return
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            host = self._hosts[number % len(self._hosts)]
            self.send(host, method, path, time_limit_ms, body)
            number += 1

    def send(
        self,
        host: EntryHost,
        method: str,
        path: str,
        time_limit_ms: int,
        body: bytes = b"",
    ) -> Sent:
        """Send one request and note its answer in the background."""
        self._count += 1
        request_id = f"{self._count:08x}{os.urandom(4).hex()}"
        sent = Sent(request_id, host.name, self._record.now())
        self.sent[request_id] = sent
        task = asyncio.create_task(
            self._send(sent, host, method, path, time_limit_ms, body)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return sent

    async def wait(self, timeout_s: float) -> None:
        """Wait until all requests have ended."""
        if self._tasks:
            await asyncio.wait(tuple(self._tasks), timeout=timeout_s)

    async def _send(
        self,
        sent: Sent,
        host: EntryHost,
        method: str,
        path: str,
        time_limit_ms: int,
        body: bytes,
    ) -> None:
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Figshunt-Attempt-Id: {sent.request_id}\r\n"
            f"X-Figshunt-Deadline-Ms: {time_limit_ms}\r\n"
            f"Authorization: Token {KEY}\r\n"
        )
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        self._record.write("sent", request=sent.request_id, host=host.name, path=path)
        channel: Any = None
        status = 0
        try:
            async with asyncio.timeout(time_limit_ms / 1000 + 0.5):
                channel = await self._open(host)
                reader, writer = channel
                writer.write(head.encode() + b"\r\n" + body)
                await writer.drain()
                message = await read_message(reader)
                if message is not None:
                    start, sent.headers, sent.body = message
                    status = int(start.split()[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            status = 0
        sent.status = status
        sent.answered_s = self._record.write(
            "answered",
            request=sent.request_id,
            host=host.name,
            status=status,
            stamp=sent.headers.get("x-figshunt-server-stamp", "-"),
            limit=sent.headers.get("server-limit", "-"),
        )
        if channel is not None:
            if status and sent.headers.get("connection", "").lower() != "close":
                self._idle[host.name].append(channel)
            else:
                channel[1].close()

    async def _open(self, host: EntryHost) -> Any:
        idle = self._idle[host.name]
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
        return await asyncio.open_connection(host.ip, host.front_port, limit=1 << 20)


class Deployment:
    """A store, runners and entry hosts."""

    def __init__(self, record: Record, zones: list[str], hosts: int) -> None:
        self.record = record
        self.zones = zones
        self.store = Store()
        self.runners: list[Runner] = []
        self.hosts = [
            EntryHost(f"front-{i + 1}", f"127.0.1.{i + 1}", zones[i % len(zones)], record)
            for i in range(hosts)
        ]
        self._folder = tempfile.TemporaryDirectory(prefix="figshunt-review-")

    @property
    def folder(self) -> Path:
        """Return the temporary folder."""
        return Path(self._folder.name)

    def add_runner(self, name: str, service: str, zone: str) -> Runner:
        """Add a runner, which isn't started yet."""
        runner = Runner(self.store, self.record, name, service, zone)
        self.runners.append(runner)
        return runner

    async def start(self, document: dict[str, Any], memory_mb: int = 150) -> None:
        """Start everything and wait until all hosts are ready."""
        if not (ROOT / "target" / "app" / "gateway.py").exists():
            raise CannotRunError("the build of the deploy file is missing")
        await self.store.start()
        self.store.put("op/config", document)
        for runner in self.runners:
            await runner.join()
        ips = [host.ip for host in self.hosts]
        ports = {
            f"{name}_port": free_common_port(ips)
            for name in ("front", "ready", "control", "peer", "metrics")
        }
        seeds = ",".join(f'"{ip}:{ports["control_port"]}"' for ip in ips[:3])
        zones = "\n".join(f'{zone} = "here"' for zone in self.zones)
        for host in self.hosts:
            host.prepare(
                self.folder,
                seeds=seeds,
                zones=zones,
                store=self.store.address,
                memory_mb=memory_mb,
                **ports,
            )
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for host in self.hosts:
            await host.end()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for log in self.folder.glob("*.log"):
                Path(logs, log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()


def build_route(name: str, service: str, **changes: object) -> dict[str, object]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": "safe",
        "service": service,
        "public": False,
        "sticky": False,
        "sloMs": 125,
        "timeoutMs": 1000,
        "priority": 2,
        "maxAttempts": 2,
    } | changes


def build_service(name: str, **changes: object) -> dict[str, object]:
    """Return a service of a configuration."""
    return {"name": name, "maxConns": 360, "healthPath": "/health"} | changes


def build_configuration(
    routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, Any]:
    """Return a configuration as an operator writes it."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "first-team", "apiKeys": [KEY]}],
    }


def has_trouble() -> bool:
    """Return whether the disruption takes place in this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(path: str, play: Callable[[Record], Awaitable[bool]]) -> int:
    """Play a case and return its exit status: 0 if the rule held, 1 if it broke."""
    record = Record(Path(path).resolve().parent / "record.txt")
    try:
        held = asyncio.run(_play(record, play))
    except Exception as error:
        record.say(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    finally:
        record.close()
    return 0 if held else 1


async def _play(record: Record, play: Callable[[Record], Awaitable[bool]]) -> bool:
    async with asyncio.timeout(110):
        return await play(record)


if __name__ == "__main__":
    sys.exit("this module has no command")
