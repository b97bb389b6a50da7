"""Callers that send bytes in pieces and keep using channels to hosts that stop."""

import asyncio
import random
import time

from tests.builders import build_raw_request
from tests.harness import (
    Ending,
    Exchange,
    RawCaller,
    build_stream_path,
    open_raw_caller,
)
from tests.soak._callers import Callers
from tests.soak._fleet import Host, SoakFleet
from tests.soak._plan import Fault, FaultKind, draw_moment

# Calls around a stop, fewer for each host in larger fleets.
CALLS_PER_STOP = 72
MIN_CALLS_PER_STOP = 4

# Streams around a stop, fewer for each host in larger fleets. They begin before it,
# so that their heads don't announce the close of their channels.
MAX_STREAMS = 24
MIN_STREAMS = 3
STREAM_ENDS_S = ((0.0, 3.0), (2.4, 3.0), (3.0, 6.0))
STREAM_LIMIT_S = 12.0
NEXT_REQUEST_DELAYS_S = (0.0, 0.003, 0.02)

# Channels to a host are opened this long before it stops.
OPENED_BEFORE_S = 0.5
BODY_BYTES = (0, 60_000, 300_000)
LIMITS_S = (2.0, 5.0, 12.0)
MAX_PIECE_PAUSE_S = 0.15
MAX_PAUSE_S = 0.2

# At this pace, and with a small buffer, the largest answers take a second or two.
SLOW_BYTES_PER_S = 20_000_000.0


class RawCallers:
    """Callers that work on sockets; their requests are recorded by ``callers``."""

    def __init__(self, fleet: SoakFleet, callers: Callers, seed: int) -> None:
        self._fleet = fleet
        self._callers = callers
        self._rng = random.Random(f"{seed} raw")

    async def run(self, count: int) -> None:
        """Run a number of callers, each with a kept channel to each host."""
        rngs = [random.Random(self._rng.random()) for _ in range(count)]
        await asyncio.gather(*(self._run_caller(rng) for rng in rngs))

    async def run_around_stops(self, plan: list[Fault]) -> None:
        """Use channels after SIGTERM, at random times or behind streams that end."""
        hosts = len(self._fleet.hosts)
        counts = {
            self._call_after: max(MIN_CALLS_PER_STOP, CALLS_PER_STOP // hosts),
            self._call_behind_stream: max(MIN_STREAMS, MAX_STREAMS // hosts),
        }
        await asyncio.gather(
            *(
                call(fault, random.Random(self._rng.random()))
                for call, count in counts.items()
                for fault in plan
                if fault.kind is FaultKind.HOST_STOPPED
                for _ in range(count)
            )
        )

    async def _call_behind_stream(self, fault: Fault, rng: random.Random) -> None:
        """Send requests right behind a stream that ends in a stop."""
        before_s = rng.uniform(0.1, OPENED_BEFORE_S)
        lasts_s = before_s + rng.uniform(*rng.choice(STREAM_ENDS_S))
        await asyncio.sleep(fault.start_s - before_s)
        host = self._fleet.hosts[fault.target % len(self._fleet.hosts)]
        caller = await open_raw_caller(host.ip, host.front_port)
        if caller is None:
            return
        request_id = self._callers.next_id("chat")
        headers = self._callers.register(host, "chat", request_id, STREAM_LIMIT_S)
        path = build_stream_path("/chat/1", time.monotonic() + lasts_s)
        data = build_raw_request(path, headers, request_id.encode())
        kept = await self._exchange(caller, [request_id], [data], 0.0)
        while kept is not None and not self._callers.is_stopped:
            invited_s = time.monotonic()
            await asyncio.sleep(rng.choice(NEXT_REQUEST_DELAYS_S))
            kept = await self._call(host, kept, rng, invited_s)
        if kept is not None:
            kept.close()

    async def _call_after(self, fault: Fault, rng: random.Random) -> None:
        moment_s = draw_moment(rng)
        opens_late, warms_up = rng.random() < 0.2, rng.random() < 0.3
        await asyncio.sleep(fault.start_s - OPENED_BEFORE_S)
        host = self._fleet.hosts[fault.target % len(self._fleet.hosts)]
        port = host.front_port
        caller = None if opens_late else await self._open(host, port, rng)
        if caller is not None and warms_up:
            caller = await self._call(host, caller, rng)
        await asyncio.sleep(OPENED_BEFORE_S + moment_s)
        if opens_late:
            caller = await self._open(host, port, rng)
        while caller is not None and not self._callers.is_stopped:
            caller = await self._call(host, caller, rng)
            await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))

    async def _run_caller(self, rng: random.Random) -> None:
        kept: dict[tuple[str, int], RawCaller] = {}
        while not self._callers.is_stopped:
            host = rng.choice(self._fleet.hosts)
            key = (host.name, host.front_port)
            caller = kept.pop(key, None) or await self._open(host, key[1], rng)
            if caller is not None:
                caller = await self._call(host, caller, rng)
            if caller is not None:
                kept[key] = caller
            await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
        for caller in kept.values():
            caller.close()

    async def _open(
        self, host: Host, port: int, rng: random.Random
    ) -> RawCaller | None:
        pace = SLOW_BYTES_PER_S if rng.random() < 0.2 else None
        return await open_raw_caller(host.ip, port, pace)

    async def _call(
        self, host: Host, caller: RawCaller, rng: random.Random, invited_s: float = 0.0
    ) -> RawCaller | None:
        """Send requests; return the caller if its channel can be used again."""
        count = rng.choice((1, 1, 1, 2, 3))
        ids = [
            self._callers.next_id(rng.choice(("chat", "book"))) for _ in range(count)
        ]
        self._callers.preceding_ids.update(zip(ids[1:], ids, strict=False))
        self._callers.invited_s[ids[0]] = invited_s
        first, *others = [self._build(host, request_id, rng) for request_id in ids]
        pieces = _cut(first, rng)
        pieces[-1] += b"".join(others)
        pause_s = rng.uniform(0.0, MAX_PIECE_PAUSE_S)
        return await self._exchange(caller, ids, pieces, pause_s)

    async def _exchange(
        self, caller: RawCaller, ids: list[str], pieces: list[bytes], pause_s: float
    ) -> RawCaller | None:
        try:
            exchanges = await caller.exchange_all(ids, pieces, pause_s)
        except TimeoutError:
            now_s = time.monotonic()
            exchanges = [Exchange(name, Ending.LOST, None, None, now_s) for name in ids]
        self._callers.exchanges.extend(exchanges)
        for exchange in exchanges:
            result = exchange.status or exchange.ending.value
            self._callers.results[f"raw {result}"] += 1
            if exchange.response is not None:
                lines = exchange.response.raw_head.decode().split("\r\n")[1:]
                self._callers.check_response(
                    exchange.request_id,
                    exchange.response.status,
                    dict(line.split(": ", 1) for line in lines),
                    exchange.response.body,
                )
        last = exchanges[-1].response
        if last is not None and not last.announces_close:
            return caller
        caller.close()
        return None

    def _build(self, host: Host, request_id: str, rng: random.Random) -> bytes:
        kind = request_id.partition("-")[0]
        headers = self._callers.register(host, kind, request_id, rng.choice(LIMITS_S))
        # Contents differ, so that none is suspected of what befalls the runners.
        body = request_id.encode().ljust(rng.choice(BODY_BYTES))
        chunk_bytes = rng.choice((None, None, 20_000))
        return build_raw_request(f"/{kind}/1", headers, body, chunk_bytes=chunk_bytes)


def _cut(data: bytes, rng: random.Random) -> list[bytes]:
    """Return a request in one to ten pieces, some of them cut within its head."""
    end = rng.choice((data.index(b"\r\n\r\n") + 4, len(data)))
    cuts = sorted(
        rng.sample(range(1, end), rng.choice((0, 0, 1, 1, rng.randint(2, 9))))
    )
    bounds = zip([0, *cuts], [*cuts, len(data)], strict=True)
    return [data[start:stop] for start, stop in bounds]
