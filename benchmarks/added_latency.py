"""Latency and processor time that one daemon adds, as one line.

``python -m benchmarks.added_latency``: calls the same stand-ins directly and
through a daemon, in turn, in the same run. Every process is real; processor
time is the daemon's own, from ``/proc``, less what it uses when idle.
"""

import asyncio
import hashlib
import json
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import defopt

from benchmarks._processes import LOOPBACK, ProcessGroup, read_cpu_ms

CALLER_KEY = "benchmark-caller-key"
HEADERS = {"Authorization": f"Bearer {CALLER_KEY}"}
STREAM_TOKENS = 400
STREAMS_AT_ONCE = 8
IDLE_S = 2.0
READY_TIMEOUT_S = 20
Call = Callable[[str], Awaitable[float]]


@dataclass(frozen=True, slots=True)
class AddedLatency:
    """Percentiles of one kind of call, direct and through the daemon, in ms."""

    direct_p50: float
    direct_p99: float
    daemon_p50: float
    daemon_p99: float

    def __str__(self) -> str:
        """Return the difference and the direct figures."""
        added_p50 = self.daemon_p50 - self.direct_p50
        added_p99 = self.daemon_p99 - self.direct_p99
        return (
            f"+{added_p50:.2f} ms p50, {added_p99:+.2f} ms p99 "
            f"(direct {self.direct_p50:.2f}, {self.direct_p99:.2f})"
        )


def added_latency(*, calls: int = 1000, streams: int = 64) -> None:
    """Print the latency and the processor time that one daemon adds.

    :param calls: calls of each kind for the latencies.
    :param streams: streams of 400 tokens for the time per token.
    """
    with ProcessGroup() as processes, tempfile.TemporaryDirectory() as folder:
        line = asyncio.run(_measure(processes, Path(folder), calls, streams))
    print(line)


async def _measure(
    processes: ProcessGroup, folder: Path, calls: int, streams: int
) -> str:
    limits = ("--warm-after", "0", "--seed", "1")
    engine = processes.start_standin(
        *("engine", "--token-ms", "0.2", "--token-ms-per-request", "0", *limits)
    )
    plain = processes.start_standin(
        *("plain", "--service-ms", "1", "--spread", "0", *limits)
    )
    tables = _write_tables(folder, engine, plain)
    configuration = processes.start_standin("configuration", *tables)
    settings = _build_settings(configuration)
    daemon, admin, process_id = processes.start_daemon(settings, folder)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(headers=HEADERS, connector=connector) as session:
        await _wait_until_ready(session, admin)
        await asyncio.gather(
            *(_call_plain(session, f"{daemon}/route/roster") for _ in range(200)),
            *(_call_stream(session, daemon, 2) for _ in range(200)),
        )
        idle_ms_per_s = await _measure_idle(process_id)
        plain_latency = await _compare(
            lambda url: _call_plain(session, url),
            plain,
            f"{daemon}/route/roster",
            calls,
        )
        stream_latency = await _compare(
            lambda url: _call_stream(session, url, 1), engine, daemon, calls
        )

        async def call_plain() -> None:
            await _call_plain(session, f"{daemon}/route/roster")

        async def call_stream() -> None:
            await _call_stream(session, daemon, STREAM_TOKENS)

        request_ms = await _cpu_ms_per_call(
            process_id, idle_ms_per_s, call_plain, calls
        )
        stream_ms = await _cpu_ms_per_call(
            process_id, idle_ms_per_s, call_stream, streams
        )
    token_us = max(0.0, stream_ms - request_ms) / STREAM_TOKENS * 1000
    return (
        f"added_latency: plain {plain_latency}; first token {stream_latency}; "
        f"cpu {request_ms:.3f} ms/request, {token_us:.1f} us/token, "
        f"{idle_ms_per_s:.1f} ms/s idle; calls={calls} streams={streams}"
    )


async def _compare(
    call: Call, direct_url: str, daemon_url: str, calls: int
) -> AddedLatency:
    direct, daemon = [], []
    for _ in range(calls):
        direct.append(await call(direct_url))
        daemon.append(await call(daemon_url))
    return AddedLatency(
        _percentile(direct, 0.50),
        _percentile(direct, 0.99),
        _percentile(daemon, 0.50),
        _percentile(daemon, 0.99),
    )


async def _cpu_ms_per_call(
    process_id: int,
    idle_ms_per_s: float,
    call: Callable[[], Awaitable[None]],
    calls: int,
) -> float:
    started_s, started_cpu_ms = time.monotonic(), read_cpu_ms(process_id)
    pending = iter(range(calls))

    async def work() -> None:
        for _ in pending:
            await call()

    await asyncio.gather(*(work() for _ in range(STREAMS_AT_ONCE)))
    idle_ms = idle_ms_per_s * (time.monotonic() - started_s)
    return (read_cpu_ms(process_id) - started_cpu_ms - idle_ms) / calls


async def _measure_idle(process_id: int) -> float:
    before_ms = read_cpu_ms(process_id)
    await asyncio.sleep(IDLE_S)
    return (read_cpu_ms(process_id) - before_ms) / IDLE_S


async def _call_plain(session: aiohttp.ClientSession, url: str) -> float:
    started_s = time.monotonic()
    async with session.post(f"{url}/lookup", data=b"{}") as response:
        await response.read()
        response.raise_for_status()
    return (time.monotonic() - started_s) * 1000


async def _call_stream(session: aiohttp.ClientSession, url: str, tokens: int) -> float:
    body = {
        "model": "chat",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "When is the workshop open?"}],
    }
    started_s = time.monotonic()
    async with session.post(f"{url}/v1/chat/completions", json=body) as response:
        first = await response.content.readany()
        first_ms = (time.monotonic() - started_s) * 1000
        whole = first + await response.content.read()
        response.raise_for_status()
        if not whole.endswith(b"[DONE]\n\n"):
            raise RuntimeError("stream is not whole")
    return first_ms


async def _wait_until_ready(session: aiohttp.ClientSession, admin_url: str) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            async with session.get(f"{admin_url}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


def _percentile(values: Sequence[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _build_settings(configuration_url: str) -> Mapping[str, Any]:
    return {
        "host": "benchmark",
        "data_centre": "one",
        "seat": 0,
        "peers": [],
        "peer_secret": "benchmark-peer-secret",
        "caller_address": LOOPBACK,
        "admin_address": LOOPBACK,
        "peer_address": LOOPBACK,
        "configuration_url": configuration_url,
        "host_list_url": configuration_url,
    }


def _write_tables(folder: Path, engine_url: str, plain_url: str) -> Sequence[str]:
    route = {
        "tier": 1,
        "latency_target_ms": 450,
        "idempotent": True,
        "deadline_ms": 60_000,
    }
    key_sha256 = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    routes = {
        "revision": 1,
        "routes": [
            {"name": "chat", "pool": "engines", **route},
            {"name": "roster", "pool": "services", **route},
        ],
        "teams": [{"name": "benchmark", "key_sha256": key_sha256}],
    }
    pool = {"limit": 16, "cold_limit": 16}
    pools = {
        "revision": 1,
        "data_centres": [{"name": "one", "state": "in"}],
        "pools": [
            {"name": "engines", "kind": "engine", **pool, "runners": []},
            {"name": "services", "kind": "plain", **pool, "runners": []},
        ],
    }
    for one, url in zip(pools["pools"], (engine_url, plain_url)):  # type: ignore
        name = f"{one['name']}-1"
        one["runners"].append({"id": name, "url": url, "data_centre": "one"})
    arguments = []
    for name, document in (("routes", routes), ("pools", pools)):
        path = folder / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        arguments += [f"--{name}", str(path)]
    return arguments


if __name__ == "__main__":
    sys.exit(defopt.run(added_latency))
