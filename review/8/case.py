"""A runner leaves while one of its earlier heartbeats is still under way."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import lab  # noqa: E402

RUNNERS = 4
BEAT_S = 1.2  # heartbeatMs
LEASE_S = 3 * BEAT_S
LOST_FROM_S, LOST_S, LATE_S = 6.0, 4.5, 4.0
LEAVES_S = 1.1  # after the heartbeat whose write is late
REMOVES_S = 0.5  # after the runner began to leave
SERVES_S = 14.0  # drainMs and "at times many seconds"
DRAIN_S = 2.0  # drainMs
REQUESTS, REQUEST_S = 4, 0.1  # so many at once, as callers do not come evenly


def configuration():
    route = {"name": "look", "host": "h.example", "prefix": "/look/"}
    route |= {"kind": "safe", "timeoutMs": 1000, "sloMs": 125, "priority": 2}
    route |= {"service": "app", "maxAttempts": 2, "public": True, "sticky": False}
    service = {"name": "app", "healthPath": "/health", "maxConns": 100}
    service |= {"protocol": "h1", "tls": False, "coldS": 0.0, "coldPerS": 0.0}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    document = {"version": 7, "routes": [route], "services": [service]}
    return document | {"limits": limits}


class Entries:
    """The runners' entries in the store, removed after three silent intervals."""

    def __init__(self, store, record):
        self._store = store
        self._record = record
        self._written_s = {}

    async def write(self, key, entry, late_s=0.0):
        await asyncio.sleep(late_s)
        is_new = key not in self._written_s
        self._written_s[key] = time.monotonic()
        self._store.put(key, entry)
        if late_s or is_new:
            self._record.write(f"store: {key} written, {entry['state']}, {late_s} s late")

    def remove(self, key, reason):
        if self._written_s.pop(key, None) is not None:
            self._store.delete(key)
            self._record.write(f"store: {key} removed, {reason}")

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for key, written_s in tuple(self._written_s.items()):
                if now - written_s > LEASE_S:
                    self.remove(key, "three intervals of silence")


class Runner:
    def __init__(self, number, entries, record):
        self.runner_id = f"i-{number:08x}"
        self.is_leaving = False
        self.arrivals = []
        self._entries = entries
        self._record = record
        self._late = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        self._entry = lab.runner_entry("app", address)
        self._key = f"servers/{self.runner_id}"

    async def beat(self, start, is_one_late):
        """Write the entry every heartbeat; the last one before leaving may be late."""
        number = 0
        while True:
            number += 1
            entry = self._entry | {"seq": number}
            now = time.monotonic() - start
            if is_one_late is not None and now > LOST_FROM_S + LOST_S - BEAT_S:
                assert LOST_FROM_S <= now <= LOST_FROM_S + LOST_S
                late_s = LATE_S if is_one_late else 0.0
                write = asyncio.create_task(
                    self._entries.write(self._key, entry, late_s)
                )
                self._late.add(write)
                await asyncio.sleep(LEAVES_S)
                return
            await self._entries.write(self._key, entry)
            await asyncio.sleep(BEAT_S)

    async def leave(self):
        self.is_leaving = True
        self._record.write(f"runner {self.runner_id} leaves, and says so in its answers")
        await asyncio.sleep(REMOVES_S)
        self._entries.remove(self._key, "the runner leaves")

    async def _serve(self, reader, writer):
        try:
            while True:
                _, headers = await lab.read_head(reader)
                await lab.read_body(reader, headers)
                request_id = headers[lab.ID_HEADER]
                self.arrivals.append(request_id)
                leaving = "Server-Leaving: 1\r\n" if self.is_leaving else ""
                await asyncio.sleep(0.0225)
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Figshunt-Attempt-Id: {request_id}\r\n"
                    f"X-Figshunt-Server-Stamp: {self.runner_id}\r\n{leaving}"
                    "Content-Length: 2\r\n\r\nok".encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


async def send(host, number, sent, leaving):
    """Send one request; note when an answer with ``Server-Leaving`` came."""
    request_id = f"{number:016x}"
    sent[request_id] = time.monotonic()
    reader, writer = await asyncio.open_connection(host.ip, host.front_port)
    writer.write(
        f"GET /look/{number} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Figshunt-Attempt-Id: {request_id}\r\n"
        "X-Figshunt-Deadline-Ms: 1000\r\n\r\n".encode()
    )
    _, headers = await asyncio.wait_for(lab.read_head(reader), 3)
    await lab.read_body(reader, headers)
    writer.close()
    if headers.get("server-leaving") == "1":
        leaving.append((time.monotonic(), headers["x-figshunt-server-stamp"]))


async def main():
    record = lab.Record(HERE)
    store = lab.Store()
    await store.start()
    store.put("op/config", configuration())
    entries = Entries(store, record)
    runners = [Runner(number, entries, record) for number in range(RUNNERS)]
    leaver = runners[0]
    start = time.monotonic()
    tasks = [asyncio.create_task(entries.expire())]
    for runner in runners:
        await runner.start()
        is_late = lab.has_trouble() if runner is leaver else None
        tasks.append(asyncio.create_task(runner.beat(start, is_late)))
    leaver_beats = tasks[1]
    sent, leaving = {}, []
    with lab.work_folder() as folder:
        host = lab.Host(folder, store.port)
        try:
            await host.start()
            if not await host.wait_ready():
                return 2
            number = 0
            ends_s = None
            while ends_s is None or time.monotonic() < ends_s:
                if ends_s is None and leaver_beats.done():
                    ends_s = time.monotonic() + SERVES_S
                    tasks.append(asyncio.create_task(leaver.leave()))
                for _ in range(REQUESTS):
                    number += 1
                    tasks.append(asyncio.create_task(send(host, number, sent, leaving)))
                await asyncio.sleep(REQUEST_S)
            await asyncio.sleep(1.0)
        finally:
            await host.end()
            for task in tasks:
                task.cancel()
    if not leaving:
        return 2
    passed_on_s = min(moment for moment, _ in leaving)
    late = [
        sent[request_id] - passed_on_s
        for request_id in leaver.arrivals
        if sent[request_id] - passed_on_s > DRAIN_S
    ]
    for request_id in leaver.arrivals:
        delay = sent[request_id] - passed_on_s
        record.write(f"reached {leaver.runner_id}: id={request_id} sent {delay:+.3f} s")
    record.write("times are from the first answer with Server-Leaving passed on")
    record.write(f"requests that reached the leaving runner too late: {len(late)}")
    print(f"{len(late)} requests reached the leaving runner later than drainMs"
          if late else "no request reached the leaving runner too late")
    return 1 if late else 0


lab.run_case(main)
