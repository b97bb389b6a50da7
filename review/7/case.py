"""Takes a zone out while the store comes back from a copy, and watches the zone."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import lab  # noqa: E402

HOSTS = 2
ZONES = ("a", "b")
COPY_AT_S, AWAY_AT_S, AWAY_S = 4.0, 7.0, 2.0
CHANGES_AT_S = (4.8, 5.6, 6.4)  # planned changes of a time-out
COMMAND_AT_S = 8.0  # the operator's command, repeated until it is acknowledged
COMMAND_REPEAT_S = 0.1
REQUEST_S = 0.05
EVACUATE_S = 5.0  # evacuateMs
OUTER_S = 5.0  # outerMs, the most that an unstable store adds
WATCHED_S = 10.0


def configuration(version, timeout_ms):
    route = {"name": "look", "host": "h.example", "prefix": "/look/"}
    route |= {"kind": "safe", "timeoutMs": timeout_ms, "sloMs": 125, "priority": 2}
    route |= {"service": "app", "maxAttempts": 2, "public": True, "sticky": False}
    service = {"name": "app", "healthPath": "/health", "maxConns": 100}
    service |= {"protocol": "h1", "tls": False, "coldS": 0.0, "coldPerS": 0.0}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    document = {"version": version, "routes": [route], "services": [service]}
    return document | {"limits": limits}


class Runner:
    """A runner that answers at once."""

    def __init__(self, number, runs):
        self.runner_id = f"i-{number:08x}"
        self.zone = ZONES[number % 2]
        self._runs = runs

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._server = server
        self._address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def register(self, store):
        """Write the entry; heartbeats that change only ``seq`` are no changes."""
        entry = lab.runner_entry("app", self._address, self.zone)
        store.put(f"servers/{self.runner_id}", entry)

    async def _serve(self, reader, writer):
        try:
            while True:
                _, headers = await lab.read_head(reader)
                await lab.read_body(reader, headers)
                request_id = headers[lab.ID_HEADER]
                self._runs.append((time.monotonic(), self.zone, request_id))
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Figshunt-Attempt-Id: {request_id}\r\n"
                    "X-Figshunt-Server-Stamp: 3e1b.07\r\nContent-Length: 2\r\n\r\nok"
                    .encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


async def send(host, number):
    reader, writer = await asyncio.open_connection(host.ip, host.front_port)
    writer.write(
        f"GET /look/{number} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Figshunt-Attempt-Id: {number:016x}\r\n"
        "X-Figshunt-Deadline-Ms: 1000\r\n\r\n".encode()
    )
    start, headers = await asyncio.wait_for(lab.read_head(reader), 3)
    await lab.read_body(reader, headers)
    writer.close()
    return start


async def main():
    record = lab.Record(HERE)
    runs = []
    store = lab.Store()
    await store.start()
    store.put("op/config", configuration(7, 1000))
    for number in range(4):
        runner = Runner(number, runs)
        await runner.start()
        runner.register(store)

    with lab.work_folder() as folder:
        ports = lab.PeerPorts()
        numbers = range(1, HOSTS + 1)
        hosts = [
            lab.Host(folder, store.port, number, ports=ports, seeds=numbers)
            for number in numbers
        ]
        try:
            for host in hosts:
                await host.start()
            for host in hosts:
                if not await host.wait_ready():
                    return 2
            return await play(store, hosts, runs, record)
        finally:
            for host in hosts:
                await host.end()


async def operate(store, record, start):
    """Change the configuration, and take zone b out; repeat what isn't acknowledged.

    What a restored store has lost is written again, as the pages say.
    """
    era = store.era
    for number, at_s in enumerate(CHANGES_AT_S, 1):
        await asyncio.sleep(start + at_s - time.monotonic())
        newest = configuration(7 + 2 * number, 1000 + 100 * number)
        store.put("op/config", newest)
        record.write(f"operator: version {newest['version']} at {store.revision}")
    await asyncio.sleep(start + COMMAND_AT_S - time.monotonic())
    while store.is_away:
        await asyncio.sleep(COMMAND_REPEAT_S)
    if store.era != era:
        store.put("op/config", newest)
        record.write(f"operator: version {newest['version']} again at {store.revision}")
    store.put("op/evacuate/b", {})
    record.write(f"operator: zone b out at {store.revision}")
    return time.monotonic()


async def play(store, hosts, runs, record):
    start = time.monotonic()
    command = asyncio.create_task(operate(store, record, start))
    copy = restored = acknowledged = None
    number = 0
    answers = {}
    while True:
        now = time.monotonic() - start
        if lab.has_trouble() and copy is None and now >= COPY_AT_S:
            copy = store.copy()
            record.write(f"store: copy at revision {store.revision}")
        if copy is not None and restored is None:
            if not store.is_away and now >= AWAY_AT_S:
                record.write(f"store: away at revision {store.revision}")
                store.go_away()
            elif store.is_away and now >= AWAY_AT_S + AWAY_S:
                await store.come_back(copy)
                restored = now
                record.write(f"store: back at revision {store.revision}, era 1")
        if command.done():
            acknowledged = command.result()
        if acknowledged and time.monotonic() - acknowledged > (
            EVACUATE_S + OUTER_S + WATCHED_S
        ):
            break
        number += 1
        host = hosts[number % len(hosts)]
        answer = await send(host, number)
        answers[answer] = answers.get(answer, 0) + 1
        await asyncio.sleep(REQUEST_S)

    before = [run for run in runs if run[0] < acknowledged and run[1] == "b"]
    due = acknowledged + EVACUATE_S + OUTER_S
    late = [run for run in runs if run[0] > due and run[1] == "b"]
    for moment, zone, request_id in runs:
        record.write(
            f"run at {moment - acknowledged:+.3f} s after the acknowledgement: "
            f"zone={zone} id={request_id}"
        )
    record.write(f"answers: {answers}")
    record.write(f"runs in zone b: {len(before)} before, {len(late)} too late")
    print(f"{len(late)} requests reached zone b too late ({len(before)} before)")
    if not before:
        return 2
    return 1 if late else 0


lab.run_case(main)
