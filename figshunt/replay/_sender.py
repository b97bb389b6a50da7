"""Sends the requests of a trace over HTTP at the recorded times (open loop)."""

import asyncio
import json
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from itertools import cycle

import aiohttp
import uuid6

from figshunt.replay._answer_check import AnswerCheck, PlainCheck, StreamCheck
from figshunt.replay._call_outcome import CallOutcome, CallResult
from figshunt.replay._report import ReplayReport
from figshunt.replay._request_body import OutgoingRequest, build_outgoing_request
from figshunt.replay._trace import TraceRequest

MAX_IN_FLIGHT = 4000
CALL_TIMEOUT_S = 180
CONNECT_TIMEOUT_S = 5
RETRY_DELAY_S = 0.1
CALLER_KEY_FORMAT = "{team}-caller-key"


@dataclass(frozen=True, slots=True)
class ReplayPlan:
    """The targets of a replay and how requests are sent to them.

    ``speed`` 2 sends at twice the recorded rate. ``retries`` is the maximum
    number of times that a caller sends a request again after its connection
    was lost or timed out; a retry has the same idempotency key, if any, and
    goes to the next target.
    """

    targets: Sequence[str]
    speed: float = 1.0
    retries: int = 1
    caller_key_format: str = CALLER_KEY_FORMAT


class TraceSender:
    """Sends requests in an open loop and records their outcomes.

    Latencies are measured from the planned send time, so that a delay of the
    sender counts as latency.
    """

    def __init__(
        self, plan: ReplayPlan, session: aiohttp.ClientSession, report: ReplayReport
    ) -> None:
        self._plan = plan
        self._session = session
        self._report = report
        self._targets = cycle(plan.targets)
        self._calls: set[asyncio.Task[None]] = set()

    async def send(self, requests: Iterable[TraceRequest]) -> None:
        """Send all requests and wait until each one has its outcome."""
        started_s = time.monotonic()
        for request in requests:
            due_s = started_s + request.at_ms / 1000 / self._plan.speed
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            if len(self._calls) >= MAX_IN_FLIGHT:
                self._report.record(
                    CallOutcome(request, CallResult.NOT_SENT, attempts=0)
                )
                continue
            call = asyncio.get_running_loop().create_task(
                self._send_with_retries(request, due_s)
            )
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
        if self._calls:
            await asyncio.wait(tuple(self._calls))
        self._report.duration_ms = (time.monotonic() - started_s) * 1000

    async def _send_with_retries(self, request: TraceRequest, due_s: float) -> None:
        key = "" if request.is_repeatable else str(uuid6.uuid7())
        outgoing = build_outgoing_request(request)
        tokens_discarded = 0
        attempts = 0
        while True:
            attempts += 1
            check = _build_check(request, outgoing, key)
            try:
                outcome = await self._send_attempt(request, outgoing, key, check, due_s)
                break
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                tokens_discarded += check.tokens
                if attempts > self._plan.retries:
                    error_name = type(error).__name__
                    outcome = CallOutcome(request, CallResult.BROKEN, error_name, key)
                    break
            await asyncio.sleep(RETRY_DELAY_S)
        self._report.record(
            replace(outcome, attempts=attempts, tokens_discarded=tokens_discarded)
        )

    async def _send_attempt(
        self,
        request: TraceRequest,
        outgoing: OutgoingRequest,
        key: str,
        check: AnswerCheck,
        due_s: float,
    ) -> CallOutcome:
        headers = {
            "Authorization": "Bearer "
            + self._plan.caller_key_format.format(team=request.team),
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        url = next(self._targets) + outgoing.path
        first_token_ms: float | None = None
        async with self._session.post(
            url, data=outgoing.body, headers=headers
        ) as response:
            if response.status != 200:
                return _error_outcome(request, key, await response.read())
            try:
                async for data in response.content.iter_any():
                    check.feed(data)
                    if first_token_ms is None and check.tokens:
                        first_token_ms = _elapsed_ms(due_s)
            except (aiohttp.ClientError, OSError):
                if check.error_body is None:
                    raise
        if check.error_body is not None:
            return _error_outcome(request, key, check.error_body)
        fault = check.finish()
        if fault is not None:
            return CallOutcome(request, CallResult.BROKEN, fault.value, key)
        return CallOutcome(
            request,
            CallResult.COMPLETE,
            key=key,
            first_token_ms=first_token_ms,
            completion_ms=_elapsed_ms(due_s),
            tokens=check.tokens,
        )


def open_session() -> aiohttp.ClientSession:
    """Return a client session without a limit on the number of connections."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        ),
    )


def _build_check(
    request: TraceRequest, outgoing: OutgoingRequest, key: str
) -> AnswerCheck:
    if request.output_tokens:
        return StreamCheck(outgoing.body, request.output_tokens)
    return PlainCheck(outgoing.body, key)


def _error_outcome(request: TraceRequest, key: str, body: bytes) -> CallOutcome:
    try:
        error = json.loads(body)["error"]
        code, outcome = str(error["code"]), str(error["outcome"])
    except (LookupError, TypeError, ValueError):
        return CallOutcome(request, CallResult.BROKEN, "malformed_error", key)
    result = CallResult.REFUSED if outcome == "not_run" else CallResult.FAILED
    return CallOutcome(request, result, code, key)


def _elapsed_ms(since_s: float) -> float:
    return (time.monotonic() - since_s) * 1000
