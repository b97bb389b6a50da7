"""Latency and CPU time that one daemon adds to a call.

Run as ``python -m benchmarks.added_latency``. Calls the same stand-ins directly and
through a daemon, alternately in the same run. All of them are separate processes. The
CPU time is that of the daemon process from ``/proc``, less its usage when idle.
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
TOKENS_PER_STREAM = 400
CONCURRENT_CALLS = 8
IDLE_MEASUREMENT_S = 2.0
READY_TIMEOUT_S = 20
TimedCall = Callable[[str], Awaitable[float]]


@dataclass(frozen=True, slots=True)
class AddedLatency:
    """Latency percentiles of one kind of call, direct and through the daemon."""

    direct_p50_ms: float
    direct_p99_ms: float
    daemon_p50_ms: float
    daemon_p99_ms: float

    def __str__(self) -> str:
        """Return the added latency and, in parentheses, the direct latency."""
        added_p50_ms = self.daemon_p50_ms - self.direct_p50_ms
        added_p99_ms = self.daemon_p99_ms - self.direct_p99_ms
        return (
            f"+{added_p50_ms:.2f} ms p50, {added_p99_ms:+.2f} ms p99 "
            f"(direct {self.direct_p50_ms:.2f}, {self.direct_p99_ms:.2f})"
        )


def added_latency(*, calls: int = 1000, streams: int = 64) -> None:
    """Print the latency and the CPU time that one daemon adds.

    :param calls: number of calls of each kind for the latencies.
    :param streams: number of streams of 400 tokens for the CPU time per token.
    """
    with ProcessGroup() as processes, tempfile.TemporaryDirectory() as folder:
        line = asyncio.run(_measure(processes, Path(folder), calls, streams))
    print(line)


async def _measure(
    processes: ProcessGroup, folder: Path, calls: int, streams: int
) -> str:
    options = ("--warm-after", "0", "--seed", "1")
    engine_url = processes.start_standin(
        *("engine", "--token-ms", "0.2", "--token-ms-per-request", "0", *options)
    )
    plain_url = processes.start_standin(
        *("plain", "--service-ms", "1", "--spread", "0", *options)
    )
    table_arguments = _write_tables(folder, engine_url, plain_url)
    configuration_url = processes.start_standin("configuration", *table_arguments)
    settings = _build_settings(configuration_url)
    daemon_url, admin_url, process_id = processes.start_daemon(settings, folder)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(headers=HEADERS, connector=connector) as session:
        await _wait_until_ready(session, admin_url)
        await asyncio.gather(
            *(_call_plain(session, f"{daemon_url}/route/roster") for _ in range(200)),
            *(_call_stream(session, daemon_url, 2) for _ in range(200)),
        )
        idle_ms_per_s = await _measure_idle_cpu(process_id)
        plain_latency = await _compare_latency(
            lambda url: _call_plain(session, url),
            plain_url,
            f"{daemon_url}/route/roster",
            calls,
        )
        stream_latency = await _compare_latency(
            lambda url: _call_stream(session, url, 1), engine_url, daemon_url, calls
        )

        async def call_plain() -> None:
            await _call_plain(session, f"{daemon_url}/route/roster")

        async def call_stream() -> None:
            await _call_stream(session, daemon_url, TOKENS_PER_STREAM)

        request_ms = await _measure_cpu_ms_per_call(
            process_id, idle_ms_per_s, call_plain, calls
        )
        stream_ms = await _measure_cpu_ms_per_call(
            process_id, idle_ms_per_s, call_stream, streams
        )
    token_us = max(0.0, stream_ms - request_ms) / TOKENS_PER_STREAM * 1000
    return (
        f"added_latency: plain {plain_latency}; first token {stream_latency}; "
        f"cpu {request_ms:.3f} ms/request, {token_us:.1f} us/token, "
        f"{idle_ms_per_s:.1f} ms/s idle; calls={calls} streams={streams}"
    )


async def _compare_latency(
    call: TimedCall, direct_url: str, daemon_url: str, calls: int
) -> AddedLatency:
    direct_ms, daemon_ms = [], []
    for _ in range(calls):
        direct_ms.append(await call(direct_url))
        daemon_ms.append(await call(daemon_url))
    return AddedLatency(
        _percentile(direct_ms, 0.50),
        _percentile(direct_ms, 0.99),
        _percentile(daemon_ms, 0.50),
        _percentile(daemon_ms, 0.99),
    )


async def _measure_cpu_ms_per_call(
    process_id: int,
    idle_ms_per_s: float,
    call: Callable[[], Awaitable[None]],
    calls: int,
) -> float:
    started_s, started_cpu_ms = time.monotonic(), read_cpu_ms(process_id)
    remaining_calls = iter(range(calls))

    async def run_calls() -> None:
        for _ in remaining_calls:
            await call()

    await asyncio.gather(*(run_calls() for _ in range(CONCURRENT_CALLS)))
    idle_ms = idle_ms_per_s * (time.monotonic() - started_s)
    return (read_cpu_ms(process_id) - started_cpu_ms - idle_ms) / calls


async def _measure_idle_cpu(process_id: int) -> float:
    cpu_before_ms = read_cpu_ms(process_id)
    await asyncio.sleep(IDLE_MEASUREMENT_S)
    return (read_cpu_ms(process_id) - cpu_before_ms) / IDLE_MEASUREMENT_S


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
        first_chunk = await response.content.readany()
        first_ms = (time.monotonic() - started_s) * 1000
        content = first_chunk + await response.content.read()
        response.raise_for_status()
        if not content.endswith(b"[DONE]\n\n"):
            raise RuntimeError("stream ended without the final [DONE] event")
    return first_ms


async def _wait_until_ready(session: aiohttp.ClientSession, admin_url: str) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            async with session.get(f"{admin_url}/readyz") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


def _percentile(values: Sequence[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]


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
    route_values = {
        "tier": 1,
        "latency_target_ms": 450,
        "idempotent": True,
        "deadline_ms": 60_000,
    }
    key_sha256 = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    routes = {
        "revision": 1,
        "routes": [
            {"name": "chat", "pool": "engines", **route_values},
            {"name": "roster", "pool": "services", **route_values},
        ],
        "teams": [{"name": "benchmark", "key_sha256": key_sha256}],
    }
    slot_limits = {"limit": 16, "cold_limit": 16}
    pools = {
        "revision": 1,
        "data_centres": [{"name": "one", "state": "in"}],
        "pools": [
            {"name": "engines", "kind": "engine", **slot_limits, "runners": []},
            {"name": "services", "kind": "plain", **slot_limits, "runners": []},
        ],
    }
    for pool, url in zip(pools["pools"], (engine_url, plain_url)):  # type: ignore
        name = f"{pool['name']}-1"
        pool["runners"].append({"id": name, "url": url, "data_centre": "one"})
    arguments = []
    for name, document in (("routes", routes), ("pools", pools)):
        path = folder / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        arguments += [f"--{name}", str(path)]
    return arguments


if __name__ == "__main__":
    sys.exit(defopt.run(added_latency))
