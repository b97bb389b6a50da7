"""The HTTP server for callers: accepts requests and streams responses back."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Any

from aiohttp import HttpVersion11, web
from aiohttp.http_exceptions import HttpProcessingError
from mode import Service
from yarl import URL

from figshunt.directory import PublishedLimits
from figshunt.dispatch import (
    AnswerAbort,
    AnswerComplete,
    AnswerEffect,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    AnswerStart,
    Call,
    CallAbandoned,
    CallArrived,
    ReplyHead,
)
from figshunt.gateway._answer_queue import AnswerQueue
from figshunt.gateway._body_budget import BodyBudget
from figshunt.gateway._codecs import CallCodec
from figshunt.gateway._memory_bounds import CallerMemory, compute_caller_memory
from figshunt.gateway._open_request import (
    OpenRequest,
    OpenRequests,
    ReceivingStoppedError,
    RequestEnding,
    RequestStage,
)
from figshunt.gateway._settings import Address
from figshunt.runtime import (
    HEAD_TIMEOUT_S,
    MAX_HEAD_BYTES,
    CallerBounds,
    CallerConnection,
    CallerFault,
    CallerLimits,
    CallerServer,
    EventLog,
    MessageSink,
    ReceiveBudget,
)
from figshunt.types import Clock, CountEvent, Moment, RequestId, Step

MAX_BODY_BYTES = 8 * 1024 * 1024

# Callers may count the request line, or what their libraries add, otherwise.
HEAD_MARGIN_BYTES = 8 * 1024

# A head may be late by a repeated packet and a pause of this host.
HEAD_MARGIN_S = 1.0

# Callers reuse a connection that was idle for less than the published limit, which
# is 15 s on known deployments, so idle connections are closed well after that.
IDLE_TIMEOUT_S = 60.0
IDLE_MARGIN_S = 15.0

LISTEN_BACKLOG = 1024

# This status says that a request has not run.
NOT_RUN_STATUS = 503

# Pause for callers whose request's body this host has no memory for.
BODY_RETRY_AFTER_MS = 1_000


class BodyRefusedError(Exception):
    """This host has no memory for the body of a request, which has not run."""


class BodyRefusal(Enum):
    """Why a request is refused before its body is complete."""

    NO_MEMORY = "no_memory"
    STOPPING = "stopping"


class RequestBody:
    """The body of one request, counted for as long as the request is served."""

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    async def read(self, request: web.BaseRequest) -> bytes:
        """Read the body whole.

        :raises BodyRefusedError: if all bodies together would exceed their limit.
        :raises web.HTTPRequestEntityTooLarge: if it exceeds ``client_max_size``.
        """
        max_bytes = request.client_max_size
        if request.content_length is not None:
            if request.content_length > max_bytes:
                raise web.HTTPRequestEntityTooLarge(max_bytes, request.content_length)
            self._reserve(request.content_length)
            await _invite_body(request)
            return await request.read()
        await _invite_body(request)
        body = bytearray()
        async for data in request.content.iter_any():
            body += data
            if len(body) > max_bytes:
                raise web.HTTPRequestEntityTooLarge(max_bytes, len(body))
            self._reserve(len(body))
        return bytes(body)

    def release(self) -> None:
        """Count the body no longer."""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _reserve(self, size_bytes: int) -> None:
        added_bytes = size_bytes - self._reserved_bytes
        if not self._budget.try_reserve(size_bytes, added_bytes):
            raise BodyRefusedError
        self._reserved_bytes = size_bytes


class FrontListener(Service):
    """Translates HTTP requests into calls, and response parts into HTTP responses."""

    def __init__(
        self,
        address: Address,
        codec: CallCodec,
        message_sink: MessageSink,
        clock: Clock,
        log: EventLog,
        count: Callable[[CountEvent], None],
        unread_budget: ReceiveBudget | None = None,
        caller_memory: CallerMemory = compute_caller_memory(None),
        read_limits: Callable[[], PublishedLimits] = PublishedLimits,
    ) -> None:
        super().__init__()
        self._address = address
        self._codec = codec
        self._message_sink = message_sink
        self._clock = clock
        self._log = log
        self._queues_by_call: dict[RequestId, tuple[AnswerQueue, web.BaseRequest]] = {}
        self._count = count
        self._read_limits = read_limits
        self._bounds = CallerBounds(
            Step.FRONT_LISTENER,
            clock,
            log,
            count,
            lambda: build_caller_limits(read_limits()),
            caller_memory.max_head_bytes,
            caller_memory.max_connections,
        )
        self._server = CallerServer(
            self._build_connection,
            report_discarded=self._report_discarded,
            max_connections=self._bounds.compute_max_connections,
        )
        self._http_server: web.Server | None = None
        self._body_budget = BodyBudget()
        self._unread_budget = unread_budget or ReceiveBudget()
        self.open_requests = OpenRequests()
        self._is_draining = False

    @property
    def port(self) -> int:
        """Return the bound port."""
        return self._server.port

    @property
    def open_connections(self) -> int:
        """Return the number of connections that haven't ended."""
        return self._server.open_connections

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the system hasn't taken yet."""
        return self._server.unsent_bytes

    @property
    def discarded_requests(self) -> int:
        """Return the number of requests that came behind the close of a connection."""
        return self._server.discarded_requests

    async def on_start(self) -> None:
        """Start listening."""
        self._http_server = web.Server(
            self._handle,
            handler_cancellation=True,
            request_factory=self._build_request,
        )
        await self._server.start(
            self._address.ip, self._address.port, backlog=LISTEN_BACKLOG
        )

    async def on_stop(self) -> None:
        """Close the listener and all connections."""
        for open_request in self.open_requests:
            self._log.write(
                "request_unanswered",
                "warning",
                step=Step.FRONT_LISTENER.value,
                request=open_request.request_id,
                stage=open_request.stage.value,
            )
        await self._server.close()

    def start_drain(self) -> None:
        """Close each connection after the response to its last received request."""
        self._is_draining = True
        self.open_requests.start_count()

    async def stop_accepting(self) -> None:
        """Stop listening, and close each connection once no more requests come on it.

        Requests that are received on connections which are still open are served.
        """
        await self._server.stop_accepting()
        self._server.close_idle_connections()

    def refuse_incomplete(self) -> None:
        """Refuse all requests whose body is still being received."""
        for open_request in self.open_requests:
            open_request.stop_receiving()

    async def wait_closed(self) -> None:
        """Wait until all connections have ended, their responses with them."""
        await self._server.wait_closed()

    def deliver(self, effect: AnswerEffect) -> None:
        """Queue a part of a response; disconnect a caller whose queue is full."""
        entry = self._queues_by_call.get(effect.call_id)
        if entry is None:
            return
        queue, request = entry
        if not queue.put(effect) and request.transport is not None:
            self._log.write(
                "caller_too_slow",
                "warning",
                step=Step.FRONT_LISTENER.value,
                request=effect.call_id,
            )
            request.transport.abort()

    def _report_discarded(self, requests: int) -> None:
        self._log.write(
            "requests_discarded",
            "warning",
            step=Step.FRONT_LISTENER.value,
            requests=requests,
        )
        self._count(CountEvent("discarded_requests", amount=requests))

    def _build_connection(self) -> CallerConnection:
        assert self._http_server is not None
        options = self._bounds.build_options()
        max_head_bytes = options["limits"].head_bytes
        return CallerConnection(
            self._http_server,
            idle_timeout_s=compute_idle_timeout_s(self._read_limits()),
            access_log=None,
            auto_decompress=False,
            max_line_size=max_head_bytes,
            max_field_size=max_head_bytes,
            **options,
        )

    def _build_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=compute_max_body_bytes(self._read_limits()),
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received = self._clock.now()
        request_body = RequestBody(self._body_budget)
        open_request = OpenRequest(
            self._codec.decode_request_id(request.headers.items())
        )
        self.open_requests.add(open_request)
        try:
            target = request.raw_path
            if not _is_forwarded_verbatim(target):
                open_request.ending = RequestEnding.FAILED
                return _reject(400)
            try:
                async with open_request.receive():
                    body = await request_body.read(request)
            except BodyRefusedError:
                open_request.ending = RequestEnding.REFUSED
                return self._refuse(request, received, BodyRefusal.NO_MEMORY)
            except ReceivingStoppedError:
                open_request.ending = RequestEnding.REFUSED
                return self._refuse(request, received, BodyRefusal.STOPPING)
            except web.HTTPRequestEntityTooLarge:
                open_request.ending = RequestEnding.FAILED
                return _reject(413)
            except (web.RequestPayloadError, HttpProcessingError):
                connection = request.protocol
                assert isinstance(connection, CallerConnection)
                if connection.fault is CallerFault.NO_MEMORY:
                    open_request.ending = RequestEnding.REFUSED
                    return self._refuse(request, received, BodyRefusal.NO_MEMORY)
                open_request.ending = RequestEnding.FAILED
                return _reject(400)
            call = self._codec.decode_call(
                request.method, target, request.headers.items(), body, received
            )
            return await self._serve(request, call, open_request)
        finally:
            self.open_requests.discard(open_request)
            request_body.release()

    def _refuse(
        self, request: web.BaseRequest, received: Moment, reason: BodyRefusal
    ) -> web.Response:
        """Tell the caller to return, as the request has not been read."""
        call = self._codec.decode_call(
            request.method, request.raw_path, request.headers.items(), b"", received
        )
        self._log.write(
            "body_refused",
            "warning",
            step=Step.FRONT_LISTENER.value,
            request=call.call_id,
            reason=reason.value,
            held_bytes=self._body_budget.held_bytes,
        )
        headers = self._codec.encode_refusal(call, BODY_RETRY_AFTER_MS)
        response = web.Response(status=NOT_RUN_STATUS, headers=headers)
        response.force_close()
        return response

    async def _serve(
        self, request: web.BaseRequest, call: Call, open_request: OpenRequest
    ) -> web.StreamResponse:
        queue = AnswerQueue(self._unread_budget)
        self._queues_by_call[call.call_id] = (queue, request)
        try:
            self._message_sink.submit(CallArrived(call))
            return await self._send_answer(request, call, queue, open_request)
        except BaseException:
            self._message_sink.submit(CallAbandoned(call.call_id))
            raise
        finally:
            del self._queues_by_call[call.call_id]
            queue.close()

    async def _send_answer(
        self,
        request: web.BaseRequest,
        call: Call,
        queue: AnswerQueue,
        open_request: OpenRequest,
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        while True:
            match await queue.get():
                case AnswerComplete(_, head, body):
                    full_response = web.Response(status=head.status, body=body)
                    self._add_headers(request, full_response, head)
                    open_request.ending = RequestEnding.SERVED
                    return full_response
                case AnswerError(_, _, status, retry_after_ms):
                    headers = self._codec.encode_refusal(call, retry_after_ms)
                    error_response = web.Response(status=status, headers=headers)
                    self._announce_close(request, error_response)
                    is_refusal = status == NOT_RUN_STATUS
                    open_request.ending = (
                        RequestEnding.REFUSED if is_refusal else RequestEnding.FAILED
                    )
                    return error_response
                case AnswerStart(_, head):
                    open_request.stage = RequestStage.ANSWERING
                    response = web.StreamResponse(status=head.status)
                    self._add_headers(request, response, head)
                    if request.version < HttpVersion11:
                        # Nothing else tells these callers where the body ends.
                        response.force_close()
                    await response.prepare(request)
                case AnswerEvent(_, data):
                    assert response is not None
                    await response.write(data)
                case AnswerEnd():
                    assert response is not None
                    await response.write_eof()
                    open_request.ending = RequestEnding.SERVED
                    return response
                case AnswerAbort():
                    # Without the final chunk the response is seen as truncated.
                    assert response is not None
                    if request.transport is not None:
                        request.transport.close()
                    return response

    def _add_headers(
        self, request: web.BaseRequest, response: web.StreamResponse, head: ReplyHead
    ) -> None:
        for name, value in head.headers:
            response.headers.add(name, value)
        self._announce_close(request, response)

    def _announce_close(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """While draining, make this response the last one of its connection.

        Callers take it that no request behind such a response has been processed.
        """
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        if self._is_draining and not connection.has_further_request:
            response.force_close()


def build_caller_limits(published: PublishedLimits) -> CallerLimits:
    """Return limits that no caller inside the published ones reaches."""
    head_bytes = (published.header_bytes or 0) + HEAD_MARGIN_BYTES
    head_timeout_s = HEAD_TIMEOUT_S
    if published.header_timeout_ms is not None:
        head_timeout_s = published.header_timeout_ms / 1000 + HEAD_MARGIN_S
    return CallerLimits(max(MAX_HEAD_BYTES, head_bytes), head_timeout_s)


def compute_idle_timeout_s(published: PublishedLimits) -> float:
    """Return the time after which idle connections are closed."""
    published_s = (published.idle_timeout_ms or 0) / 1000
    return max(IDLE_TIMEOUT_S, published_s + IDLE_MARGIN_S)


def compute_max_body_bytes(published: PublishedLimits) -> int:
    """Return the size of a body from which on the library refuses it."""
    return max(MAX_BODY_BYTES, (published.body_bytes or 0) + 1)


async def _invite_body(request: web.BaseRequest) -> None:
    """Tell a caller that waits with the body that the host reads it now.

    The library does so only for its routed applications.
    """
    expectation = request.headers.get("Expect", "").lower()
    if expectation == "100-continue" and request.version >= HttpVersion11:
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The library counts what is sent of the response, which hasn't begun.
        request.writer.output_size = 0


def _reject(status: int) -> web.Response:
    """Return the last response of a connection whose request isn't read on."""
    response = web.Response(status=status)
    response.force_close()
    return response


def _is_forwarded_verbatim(target: str) -> bool:
    """Return whether the client library forwards this target unchanged."""
    if not target.startswith("/") or not target.isascii():
        return False
    return URL(f"http://h{target}", encoded=True).raw_path_qs == target
