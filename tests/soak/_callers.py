"""Callers that send requests over persistent connections and check the responses."""

import asyncio
import itertools
import random
import re
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp

from tests.gateway.fixture import CALLER_API_KEY
from tests.harness import Ending, Exchange
from tests.soak._fleet import Host, SoakFleet

DEADLINE_S = 2.0

# A response that is later than the deadline by more than this counts as missing.
DEADLINE_GRACE_S = 4.0
MAX_PAUSE_S = 0.03

# After this time a refused request is sent under its id again.
REPEAT_PAUSE_S = 0.3

# Statuses with which a host states that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
TOKEN_EVENT = re.compile(rb"id: (\d+)\ndata: token\n\n")


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request of a caller; ``sent_s`` is in s of the steady clock.

    ``limit_s`` is the time limit that the request states.
    """

    host_name: str
    pool: str
    sent_s: float
    limit_s: float = DEADLINE_S


class Callers:
    """Concurrent callers that send all kinds of requests to all hosts.

    ``violations`` describes each response or execution that breaks a guarantee to
    callers. ``results`` counts requests by their result, as returned by ``send``.
    ``leaving_told_s`` has the times at which a host first passed on an answer in which
    a runner says that it is leaving, by the names of both, and ``limit_told_s`` all
    times at which it passed on one that names a limit. ``exchanges`` has the
    requests whose ending was observed. ``preceding_ids`` has the id of the request
    before each pipelined one. ``max_repeats`` is how often a refused request is sent
    again under its id, and ``repeats_by_id`` how often that was done. ``invited_s``
    has the time at which the response before a request on its channel had been read,
    for requests sent right behind it.
    """

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.violations: list[str] = []
        self.results: Counter[str] = Counter()
        self.sent_by_id: dict[str, SentRequest] = {}
        self.leaving_told_s: dict[tuple[str, str], float] = {}
        self.limit_told_s: dict[tuple[str, str], list[float]] = {}
        self.exchanges: list[Exchange] = []
        self.preceding_ids: dict[str, str] = {}
        self.invited_s: dict[str, float] = {}
        self._fleet = fleet
        self._seed = seed
        self.is_stopped = False
        self.max_repeats = 0
        self.repeats_by_id: Counter[str] = Counter()
        self._not_executed_ids: set[str] = set()
        self._request_numbers = itertools.count()

    def stop(self) -> None:
        """Make each caller end after its current request."""
        self.is_stopped = True

    async def run(self, count: int) -> None:
        """Run a number of callers concurrently until ``stop`` is called."""
        await asyncio.gather(*(self._run_caller(number) for number in range(count)))

    async def run_at_rate(self, requests_per_s: float) -> None:
        """Send requests at a constant rate until ``stop`` is called."""
        rng = random.Random(f"{self._seed} rate")
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + DEADLINE_GRACE_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            session._retry_connection = False
            while not self.is_stopped:
                group.create_task(self._send_one(session, rng))
                await asyncio.sleep(rng.expovariate(requests_per_s))

    async def send(
        self, session: aiohttp.ClientSession, host: Host, kind: str, request_id: str
    ) -> str:
        """Send a request, check its response and return its result.

        The result is the status, or the name of the error that occurred.
        """
        headers = self.register(host, kind, request_id, DEADLINE_S)
        method = "GET" if kind == "look" else "POST"
        try:
            async with session.request(
                method, f"{host.url}/{kind}/1", headers=headers, data=None
            ) as response:
                self._record_announcements(host, response.headers)
                body = await response.read()
        except (aiohttp.ClientError, OSError) as error:
            if not isinstance(error, TimeoutError):
                is_cut = isinstance(error, aiohttp.ClientPayloadError)
                ending = Ending.CUT if is_cut else Ending.CLOSED_BEFORE
                now_s = time.monotonic()
                self.exchanges.append(Exchange(request_id, ending, None, None, now_s))
            return type(error).__name__
        except TimeoutError:
            return "no response in time"
        self.check_response(request_id, response.status, response.headers, body)
        return str(response.status)

    def next_id(self, kind: str) -> str:
        """Return a new request id."""
        return f"{kind}-{next(self._request_numbers)}"

    def register(
        self, host: Host, kind: str, request_id: str, limit_s: float
    ) -> dict[str, str]:
        """Record that a request is sent now and return its headers."""
        pool = "engines" if kind == "chat" else "bookings"
        now_s = time.monotonic()
        self.sent_by_id[request_id] = SentRequest(host.name, pool, now_s, limit_s)
        headers = {
            "Host": "h.example",
            "X-Figshunt-Attempt-Id": request_id,
            "X-Figshunt-Deadline-Ms": str(int(limit_s * 1000)),
            "Authorization": f"Token {CALLER_API_KEY}",
        }
        if kind == "chat":
            headers["X-Figshunt-Token-Counts"] = "100,20"
        return headers

    def check_response(
        self, request_id: str, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Check a whole response, with header names as the hosts send them."""
        if status in NOT_EXECUTED_STATUSES:
            self._not_executed_ids.add(request_id)
        if 200 <= status < 300:
            self._check_success(request_id, headers, body)

    def check_executions(self) -> None:
        """Compare the requests that runners received with the responses to callers.

        A booking may run at most once, and not at all if its response says so.
        """
        executions: Counter[str] = Counter()
        for runner in self._fleet.runners:
            for request in runner.standin.received_requests:
                request_id = request.header("X-Figshunt-Attempt-Id") or ""
                executions[request_id] += 1
                if request.header("X-Figshunt-Tenant") != "team-a":
                    self.violations.append(
                        f"{request_id} ran without the name of its team"
                    )
                if request.header("Authorization") is not None:
                    self.violations.append(f"{request_id} ran with the caller's key")
                if not request.target.startswith(_path_prefixes(runner.pool)):
                    self.violations.append(f"{request_id} ran in pool {runner.pool}")
        for request_id, count in executions.items():
            if request_id.startswith("book") and count > 1:
                self.violations.append(f"{request_id} ran {count} times")
            if request_id in self._not_executed_ids:
                self.violations.append(
                    f"{request_id} ran although its response said it was not executed"
                )

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(self._seed * 1_000 + number)
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S + DEADLINE_GRACE_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            # Without aiohttp's own retries each request is sent once; a repeat by the
            # library would count as a second execution caused by the hosts.
            session._retry_connection = False
            while not self.is_stopped:
                await self._send_one(session, rng)
                await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))

    async def _send_one(
        self, session: aiohttp.ClientSession, rng: random.Random
    ) -> None:
        host = rng.choice(self._fleet.hosts)
        kind = rng.choice(("chat", "book", "look"))
        request_id = self.next_id(kind)
        result = await self.send(session, host, kind, request_id)
        while result == "503" and self.repeats_by_id[request_id] < self.max_repeats:
            await asyncio.sleep(REPEAT_PAUSE_S)
            self.repeats_by_id[request_id] += 1
            self._not_executed_ids.discard(request_id)
            result = await self.send(session, host, kind, request_id)
        self.results[result] += 1

    def _record_announcements(self, host: Host, headers: Mapping[str, str]) -> None:
        stamp = headers.get("X-Figshunt-Server-Stamp", "")
        key = (host.name, stamp.removeprefix("stamp-"))
        if "Server-Leaving" in headers:
            self.leaving_told_s.setdefault(key, time.monotonic())
        if "Server-Limit" in headers:
            self.limit_told_s.setdefault(key, []).append(time.monotonic())

    def _check_success(
        self, request_id: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        stamp = headers.get("X-Figshunt-Server-Stamp", "")
        if headers.get("X-Figshunt-Attempt-Id") != request_id:
            self.violations.append(f"{request_id} got the response of another request")
        if not stamp:
            self.violations.append(f"{request_id} got a success without a server stamp")
        if not request_id.startswith("chat"):
            runner_id = stamp.removeprefix("stamp-")
            length = self._fleet.answer_bytes(runner_id)
            if body != f"served by {runner_id}".encode().ljust(length):
                self.violations.append(f"{request_id} got the body {body[:60]!r}")
            return
        event_ids = [int(number) for number in TOKEN_EVENT.findall(body)]
        expected_ids = list(range(self._fleet.scale.stream_events))
        if event_ids != expected_ids or TOKEN_EVENT.sub(b"", body):
            self.violations.append(f"{request_id} got the event ids {event_ids}")


def _path_prefixes(pool: str) -> tuple[str, ...]:
    return ("/chat/",) if pool == "engines" else ("/book/", "/look/")
