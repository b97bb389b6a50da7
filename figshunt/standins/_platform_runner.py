"""Stand-in for a runner that speaks the platform's protocol."""

import asyncio
import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

from aiohttp import web

from figshunt.standins._web_standin import LOOPBACK, WebStandin

MAX_BODY_BYTES = 8 * 1024 * 1024
ENDLESS_WRITE_BYTES = 64 * 1024


class RunnerBehaviour(Enum):
    """How the runner responds to requests.

    ``REFUSE`` responds with 503 and the header that says that the request was
    not executed, ``FAIL`` with 500 to a request that was executed. ``HANG``
    never responds and ``CLOSE`` aborts the connection instead of responding.
    ``BREAK_STREAM`` closes the connection after two events of a stream, within
    the third one. ``ANSWER_TWICE`` sends a second response that belongs to no
    request. ``REPEAT_REFUSAL`` runs the request, but first sends the refusal of
    an earlier request on the same connection once more; ``REPEAT_ANSWER`` does
    the same with an answer. ``TRUNCATE`` closes the connection within an answer
    whose length it has announced, and ``RESET`` resets it within an answer that
    ends with the connection. ``NEVER_END`` sends bytes that are no events or
    answer until the connection is closed.
    """

    SERVE = "serve"
    REFUSE = "refuse"
    FAIL = "fail"
    HANG = "hang"
    BREAK_STREAM = "break_stream"
    CLOSE = "close"
    ANSWER_TWICE = "answer_twice"
    REPEAT_REFUSAL = "repeat_refusal"
    REPEAT_ANSWER = "repeat_answer"
    TRUNCATE = "truncate"
    RESET = "reset"
    NEVER_END = "never_end"


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as the runner received it."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return a header's value, or ``None``; the case of the name is ignored."""
        values_by_name = {key.lower(): value for key, value in self.headers}
        return values_by_name.get(name.lower())


class EarlierResponses:
    """Responses that were sent on a connection, as their status and first header."""

    def __init__(self) -> None:
        self._starts_by_id: dict[str, str] = {}

    def add(self, request_id: str, start: str) -> None:
        """Add the latest response."""
        self._starts_by_id.pop(request_id, None)
        self._starts_by_id[request_id] = start

    def encode_copy(self, request_id: str) -> bytes:
        """Return the response to an earlier request of that id, or the latest one."""
        if request_id not in self._starts_by_id:
            request_id = next(reversed(self._starts_by_id))
        head = (
            f"HTTP/1.1 {self._starts_by_id[request_id]}\r\n"
            f"X-Figshunt-Attempt-Id: {request_id}\r\nContent-Length: 7\r\n\r\n"
        )
        return head.encode() + b"another"


@dataclass(slots=True)
class Arrival:
    """A request that reached the runner; times are in s of the steady clock.

    ``has_run`` is set if the runner began to work on it. ``ended_s`` is the time at
    which that work ended. ``time_limit_ms`` is smaller for later attempts at a request.
    ``pause_s`` is the pause that a refusal asked for.
    """

    request_id: str
    arrived_s: float
    has_run: bool = False
    is_wrong_runner: bool = False
    ended_s: float | None = None
    time_limit_ms: int = 0
    pause_s: float | None = None


class PlatformRunner(WebStandin):
    """Answers plain requests immediately and streams a fixed number of events.

    It streams if the request has the header ``X-Figshunt-Token-Counts``. While
    ``is_leaving`` is set, it says so in all answers and in its entry. A refusal asks
    for a pause of ``pause_s`` if that is set. All answers name ``limit_per_s`` if that
    is set. Plain answers are filled up to ``answer_bytes``.
    """

    def __init__(
        self, runner_id: str, events: int = 5, event_interval_ms: int = 5
    ) -> None:
        super().__init__()
        self.runner_id = runner_id
        self.behaviour = RunnerBehaviour.SERVE
        self.is_leaving = False
        self.pause_s: float | None = None
        self.limit_per_s: float | None = None
        self.answer_bytes = 0
        self.arrivals: list[Arrival] = []
        self.received_requests: list[ReceivedRequest] = []
        self.cancelled = 0
        self._refusals_by_connection: dict[object, EarlierResponses] = {}
        self._answers_by_connection: dict[object, EarlierResponses] = {}
        self._events = events
        self.event_interval_ms = event_interval_ms

    @property
    def address(self) -> str:
        """Return the address that the runner publishes in the store."""
        return f"{LOOPBACK}:{self.port}"

    def build_store_entry(self, pool: str, **changes: object) -> dict[str, object]:
        """Return the runner's entry in the store, with the given changes."""
        return {
            "service": pool,
            "addr": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_leaving else "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        } | changes

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{path:.*}", self._answer)
        return app

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        expected_runner_id = request.headers.get("X-Figshunt-Expect-Instance")
        request_id = request.headers.get("X-Figshunt-Attempt-Id", "")
        headers = {"X-Figshunt-Attempt-Id": request_id, **self._state_headers()}
        arrival = Arrival(
            request_id,
            time.monotonic(),
            time_limit_ms=int(request.headers.get("X-Figshunt-Deadline-Ms", "0")),
        )
        self.arrivals.append(arrival)
        if expected_runner_id is not None and expected_runner_id != self.runner_id:
            arrival.is_wrong_runner = True
            self._record_refusal(request, "421 Misdirected Request")
            return web.Response(status=421, headers=headers)
        if self.behaviour is RunnerBehaviour.REFUSE:
            self._record_refusal(request, "503 Service Unavailable")
            headers["X-Figshunt-Not-Executed"] = "1"
            if self.pause_s is not None:
                headers["Retry-After"] = f"{self.pause_s:g}"
                arrival.pause_s = self.pause_s
            return web.Response(status=503, headers=headers)
        self.received_requests.append(
            ReceivedRequest(
                request.method,
                request.raw_path,
                tuple(request.headers.items()),
                await request.read(),
            )
        )
        arrival.has_run = True
        try:
            return await self._run(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            arrival.ended_s = time.monotonic()

    def _state_headers(self) -> dict[str, str]:
        """Return the headers by which a runner announces its state."""
        headers = {}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.limit_per_s is not None:
            headers["Server-Limit"] = f"{self.limit_per_s:g}"
        return headers

    async def _run(self, request: web.Request) -> web.StreamResponse:
        headers = {
            "X-Figshunt-Attempt-Id": request.headers.get("X-Figshunt-Attempt-Id", ""),
            "X-Figshunt-Server-Stamp": f"stamp-{self.runner_id}",
            "X-Figshunt-Instance-Load": "1,0,8",
            **self._state_headers(),
        }
        if self.behaviour is RunnerBehaviour.HANG:
            await asyncio.Event().wait()
        if self.behaviour is RunnerBehaviour.CLOSE and request.transport is not None:
            request.transport.abort()
        if self.behaviour is RunnerBehaviour.REPEAT_REFUSAL:
            self._repeat_response(request, self._refusals_by_connection)
        if self.behaviour is RunnerBehaviour.REPEAT_ANSWER:
            self._repeat_response(request, self._answers_by_connection)
        if self.behaviour in (RunnerBehaviour.TRUNCATE, RunnerBehaviour.RESET):
            await self._send_part(request)
        if self.behaviour is RunnerBehaviour.FAIL:
            return web.Response(status=500, headers=headers, text="failed")
        is_stream = request.headers.get("X-Figshunt-Token-Counts") is not None
        if self.behaviour is RunnerBehaviour.NEVER_END:
            return await self._send_without_end(request, headers, is_stream)
        if is_stream:
            return await self._stream(request, headers)
        self._answers_by_connection.setdefault(
            request.protocol, EarlierResponses()
        ).add(
            headers["X-Figshunt-Attempt-Id"],
            "200 OK\r\nX-Figshunt-Server-Stamp: stamp",
        )
        text = f"served by {self.runner_id}".ljust(self.answer_bytes)
        response = web.Response(headers=headers, text=text)
        if self.behaviour is RunnerBehaviour.ANSWER_TWICE:
            self.run_in_background(self._write_second_response(request))
        return response

    async def _stream(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first_number = int(request.headers.get("Last-Event-Id", "-1")) + 1
        for number in range(first_number, self._events):
            await asyncio.sleep(self.event_interval_ms / 1000)
            await response.write(b"id: %d\ndata: token\n\n" % number)
            breaks_stream = self.behaviour is RunnerBehaviour.BREAK_STREAM
            if (
                breaks_stream
                and number == first_number + 1
                and request.transport is not None
            ):
                await response.write(b"id: ")
                request.transport.close()
                return response
        await response.write_eof()
        return response

    async def _send_without_end(
        self, request: web.Request, headers: dict[str, str], is_stream: bool
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream" if is_stream else "text/plain"
        await response.prepare(request)
        while True:
            await response.write(b"x" * ENDLESS_WRITE_BYTES)

    def _repeat_response(
        self,
        request: web.Request,
        responses_by_connection: dict[object, EarlierResponses],
    ) -> None:
        """Send the response to an earlier request on this connection once more."""
        responses = responses_by_connection.get(request.protocol)
        if responses is not None and request.transport is not None:
            request_id = request.headers.get("X-Figshunt-Attempt-Id", "")
            request.transport.write(responses.encode_copy(request_id))

    def _record_refusal(self, request: web.Request, status: str) -> None:
        self._refusals_by_connection.setdefault(
            request.protocol, EarlierResponses()
        ).add(
            request.headers.get("X-Figshunt-Attempt-Id", ""),
            f"{status}\r\nX-Figshunt-Not-Executed: 1",
        )

    async def _send_part(self, request: web.Request) -> None:
        """Send a part of an answer and close the connection, or reset it."""
        assert request.transport is not None
        is_reset = self.behaviour is RunnerBehaviour.RESET
        length = b"" if is_reset else b"Content-Length: 100\r\n"
        request.transport.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"X-Figshunt-Server-Stamp: stamp\r\n"
            b"X-Figshunt-Attempt-Id: %s\r\n%s\r\nhalf"
            % (request.headers["X-Figshunt-Attempt-Id"].encode(), length)
        )
        # The part has to arrive before the connection ends.
        await asyncio.sleep(0.05)
        if is_reset:
            linger = struct.pack("ii", 1, 0)
            connection = request.transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        request.transport.close()

    async def _write_second_response(self, request: web.Request) -> None:
        await asyncio.sleep(self.event_interval_ms / 1000)
        if request.transport is not None:
            request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore")
