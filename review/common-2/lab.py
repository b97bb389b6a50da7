"""Small stand-ins of the platform, and entry hosts as processes, for the review.

Everything listens on loopback addresses and free ports. Nothing but the standard
library is used, so that the stand-ins need no build of their own.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
STORE_IP = "127.0.0.1"
MIB = 1024 * 1024
ID_HEADER = "x-figshunt-attempt-id"


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def deploy_command():
    import tomllib

    roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
    role = roles["router"]
    return role["run"].split(), role.get("env", {})


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader):
    """Return the start line and the headers by lower-case name."""
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data.decode("latin-1").split("\r\n")
    pairs = [line.split(":", 1) for line in lines if ":" in line]
    return start, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: ``/kv-range`` and ``/kv-watch`` of PROTOCOL.md.

    A store that goes away drops all packets. It comes back from a copy, in the next
    era, and gives the revisions after those of the copy out again.
    """

    def __init__(self):
        self.port = 0
        self.era = 0
        self.is_away = False
        self._first_revision = 1
        self._fillers = []
        self._silent = []
        self._revision = 1
        self._items = {}
        self._history = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, STORE_IP, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def revision(self):
        return self._revision

    def copy(self):
        return self._revision, dict(self._items)

    def go_away(self):
        """Answer nothing more; a full queue of connections drops opening packets."""
        self.is_away = True
        self._server.close()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((STORE_IP, self.port))
        listener.listen(0)
        self._fillers = [listener]
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((STORE_IP, self.port))
            self._fillers.append(filler)

    async def come_back(self, copy):
        for filler in self._fillers:
            filler.close()
        self._revision, items = copy
        self._items = dict(items)
        self._history = []
        self._first_revision = self._revision
        self.era += 1
        self.is_away = False
        self._server = await asyncio.start_server(self._serve, STORE_IP, self.port)

    def put(self, key, value):
        self._revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "rev": self._revision}
        item |= {"created": self._revision, "lease": 0}
        self._items[key] = item
        self._add(item)

    def delete(self, key):
        self._revision += 1
        del self._items[key]
        self._add({"key": key, "rev": self._revision, "deleted": True})

    def _add(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        era = self.era
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                start, _ = await read_head(reader)
                url = urlsplit(start.split()[1])
                query = {name: v[0] for name, v in parse_qs(url.query).items()}
                status, answer = await self._answer(url.path, query)
                if self.is_away or era != self.era:
                    # The machine is gone, and the connection with it is silent.
                    self._silent.append(writer)
                    return
                body = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {era}\r\nContent-Length: {len(body)}\r\n\r\n"
                    .encode() + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path, query):
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            keys = sorted(key for key in self._items if key.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            items = [self._items[key] for key in keys]
            page = {"items": items, "hasMore": False, "asOf": self._revision}
            return "200 OK", page
        after = int(query["after"])
        if not self._first_revision <= after <= self._revision:
            return "410 Gone", {}
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return "200 OK", {"events": events, "asOf": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


def runner_entry(service, address, zone="a", slots=6, born=None, **more):
    entry = {"service": service, "addr": address, "zone": zone, "version": "v1"}
    entry |= {"slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1}
    return entry | {"born": born or int(time.time() * 1000)} | more


class PeerPorts:
    """The ports between hosts, which are the same on all of them."""

    def __init__(self):
        self.control = free_port("127.0.1.1")
        self.datagrams = free_port("127.0.1.1", socket.SOCK_DGRAM)


class Host:
    """One entry host, started with the command of the deploy file.

    :param seeds: the numbers of the hosts through which it finds the others.
    """

    def __init__(
        self, folder, store_port, number=1, memory_mb=150, ports=None, seeds=()
    ):
        self.name = f"front-{number}"
        self.ip = f"127.0.{number}.1"
        self.memory_mb = memory_mb
        self.front_port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self._folder = Path(folder) / self.name
        self._folder.mkdir()
        self._settings = self._folder / "boot.toml"
        ports = ports or PeerPorts()
        addresses = [f"127.0.{seed}.1:{ports.control}" for seed in seeds]
        self.process = None
        self.log = self._folder / "log.txt"
        self._settings.write_text(f"""
node = "{self.name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ip = "{self.ip}"
zone = "a"
region = "r"
portRange = [{ports.datagrams}, 65535]
seeds = {json.dumps(addresses)}
bootstrap = true
heartbeatMs = 1200
metricsPort = {free_port(self.ip)}
[zones]
a = "r"
[listen]
front = "{self.ip}:{self.front_port}"
ready = "{self.ip}:{self.ready_port}"
control = "{self.ip}:{ports.control}"
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
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
retryRatio = 0.2
budgetWindowS = 10
retrySlack = 54
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
reuseWindowS = 6.3
[provider]
addr = "{STORE_IP}:{store_port}"
form = "read"
""")

    async def start(self):
        words, variables = deploy_command()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= variables
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["FIGSHUNT_SETTINGS"] = str(self._settings)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    async def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n")
                start, _ = await read_head(reader)
                writer.close()
                if start.split()[1] == "200":
                    return True
            await asyncio.sleep(0.1)
        return False

    @property
    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def resident_bytes(self):
        """Return the memory that the process takes, or 0 if it has ended."""
        with contextlib.suppress(OSError, IndexError, ValueError):
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
            return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")
        return 0

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    async def end(self):
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@contextlib.contextmanager
def work_folder():
    path = tempfile.mkdtemp(prefix="figshunt-review-")
    try:
        yield Path(path)
    finally:
        shutil.rmtree(path, ignore_errors=True)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main, limit_s=115):
    """Run a case and exit with 1 if the rule broke, 0 if it held, else 2."""

    async def bounded():
        async with asyncio.timeout(limit_s):
            return await main()

    def ignore_cancelled(loop, context):
        if not isinstance(context.get("exception"), asyncio.CancelledError):
            loop.default_exception_handler(context)

    async def guarded():
        asyncio.get_running_loop().set_exception_handler(ignore_cancelled)
        return await bounded()

    try:
        code = asyncio.run(guarded())
    except Exception as error:
        print(f"the case could not run: {type(error).__name__}: {error}")
        code = 2
    sys.exit(code)
