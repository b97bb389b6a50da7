"""Withdraws a team's keys one after the other, the last one too, and uses them."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import lab  # noqa: E402

CONFIG_S = 2.0  # configMs
GAP_S = 1.5
KEYS = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"]
NEVER_ISSUED = "w9x0never0issued0key"
REQUESTS = 5


def configuration(version, keys):
    route = {"name": "book", "host": "h.example", "prefix": "/book/"}
    route |= {"kind": "unsafe", "timeoutMs": 1000, "sloMs": 125, "priority": 2}
    route |= {"service": "app", "maxAttempts": 1, "public": False, "sticky": False}
    service = {"name": "app", "healthPath": "/health", "maxConns": 100}
    service |= {"protocol": "h1", "tls": False, "coldS": 0.0, "coldPerS": 0.0}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
    limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": limits,
        "tenants": [{"name": "hule930", "apiKeys": keys}],
    }


async def send(host, record, number, key, runs, when):
    """Send one booking and return whether it was run."""
    request_id = f"{number:016x}"
    reader, writer = await asyncio.open_connection(host.ip, host.front_port)
    writer.write(
        f"POST /book/{number} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Figshunt-Attempt-Id: {request_id}\r\nX-Figshunt-Deadline-Ms: 1000\r\n"
        f"Authorization: Token {key}\r\nContent-Length: 2\r\n\r\nhi".encode()
    )
    start, headers = await asyncio.wait_for(lab.read_head(reader), 5)
    await lab.read_body(reader, headers)
    writer.close()
    tenant = runs.get(request_id, "not run")
    record.write(f"{when}: id={request_id} key={key} answer={start!r} run={tenant}")
    return request_id in runs


async def main():
    record = lab.Record(HERE)
    runs = {}
    store = lab.Store()
    await store.start()

    async def run_requests(reader, writer):
        try:
            while True:
                _, headers = await lab.read_head(reader)
                await lab.read_body(reader, headers)
                request_id = headers[lab.ID_HEADER]
                runs[request_id] = f"as tenant {headers.get('x-figshunt-tenant')!r}"
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Figshunt-Attempt-Id: {request_id}\r\n"
                    "X-Figshunt-Server-Stamp: 3e1b.07\r\nContent-Length: 2\r\n\r\nok"
                    .encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    servers = []
    for number in range(2):
        server = await asyncio.start_server(run_requests, "127.0.0.1", 0)
        servers.append(server)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        store.put(f"servers/i-{number}", lab.runner_entry("app", address))
    store.put("op/config", configuration(7, KEYS))

    with lab.work_folder() as folder:
        host = lab.Host(folder, store.port)
        try:
            await host.start()
            if not await host.wait_ready():
                return 2
            await asyncio.sleep(3.5)  # in touch from now on
            number = 0
            for key in KEYS:
                number += 1
                if not await send(host, record, number, key, runs, "key in force"):
                    return 2
            number += 1
            if await send(host, record, number, NEVER_ISSUED, runs, "never issued"):
                return 2
            if lab.has_trouble():
                for version, left in ((9, KEYS[1:]), (13, [])):
                    store.put("op/config", configuration(version, left))
                    record.write(f"operator: {len(left)} keys left, acknowledged")
                    await asyncio.sleep(GAP_S)
            await asyncio.sleep(CONFIG_S + 1.0)
            broken = 0
            for _ in range(REQUESTS):
                for key in (*KEYS, NEVER_ISSUED):
                    number += 1
                    is_run = await send(host, record, number, key, runs, "afterwards")
                    withdrawn = lab.has_trouble() or key == NEVER_ISSUED
                    broken += is_run and withdrawn
            record.write(f"runs of requests without a key in force: {broken}")
            print(f"{broken} requests ran without a key in force")
            return 1 if broken else 0
        finally:
            await host.end()


lab.run_case(main)
