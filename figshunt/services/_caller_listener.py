"""HTTP listener for callers: reads requests and streams the answers."""

import asyncio
import ssl
import uuid
from collections.abc import Awaitable, Callable

from aiohttp import HttpVersion11, web
from aiohttp.http_exceptions import HttpProcessingError
from mode import Service

from figshunt.codec import (
    DecodedBody,
    decode_bearer_key,
    decode_completion_body,
    decode_content_type,
    decode_idempotency_key,
    decode_runner_path,
    fingerprint_content,
)
from figshunt.runtime import (
    MAX_HEAD_BYTES,
    CallerBounds,
    CallerFault,
    CallerLimits,
    CallerServer,
    EventLog,
    MessageSink,
)
from figshunt.services._answer_stream import AnswerEffect, AnswerStream
from figshunt.services._body_timeout import limit_body_time
from figshunt.services._caller_protocol import CallerProtocol
from figshunt.services._error_response import (
    build_error_body,
    build_error_response,
    error_from_failure,
)
from figshunt.settings import Address, LimitSettings, TlsSettings
from figshunt.types import (
    Clock,
    CountEvent,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    FigshuntError,
    Request,
    RequestArrived,
    RequestCancelled,
    RequestId,
    RouteName,
    RunOutcome,
    SendAnswer,
    StartAnswer,
    Step,
)

LISTEN_BACKLOG = 1024
# The settings limit a header field; a head has several of them.
MAX_LARGE_FIELDS = 4
MAX_QUEUED_BYTES = 1024 * 1024
# Applies to requests that are still in progress after the drain, which normally
# waits for all of them.
SHUTDOWN_TIMEOUT_S = 1.0
MAX_REPORTED_PATH_CHARS = 80
WRITE_TIMEOUT_S = 30.0
# A write of at most this size to a connection with an empty buffer can't block, so
# it needs no timeout.
MAX_UNTIMED_WRITE_BYTES = 16 * 1024
EVENT_STREAM = "text/event-stream"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class CallerListener(Service):
    """Serves completions, chat completions and calls to plain services."""

    def __init__(
        self,
        address: Address,
        limits: LimitSettings,
        tls: TlsSettings | None,
        message_sink: MessageSink,
        clock: Clock,
        log: EventLog,
        count: Callable[[CountEvent], None],
    ) -> None:
        super().__init__()
        self._address = address
        self._limits = limits
        self._message_sink = message_sink
        self._clock = clock
        self._log = log
        self._streams_by_request: dict[RequestId, AnswerStream] = {}
        self._app_runner: web.AppRunner | None = None
        self._count = count
        self._bounds = CallerBounds(
            Step.CALLER_LISTENER, clock, log, count, self._build_limits
        )
        self._server = CallerServer(
            self._build_protocol,
            _build_ssl_context(tls),
            self._report_discarded,
            self._bounds.compute_max_connections,
        )
        self._requests_in_progress = 0
        self._is_draining = False
        self.port = address.port

    async def on_start(self) -> None:
        """Bind the listener and set ``port`` to the bound port."""
        app = web.Application(client_max_size=self._limits.body_bytes)
        app.router.add_post(
            "/v1/chat/completions", self._wrap_handler(self._handle_completion)
        )
        app.router.add_post(
            "/v1/completions", self._wrap_handler(self._handle_completion)
        )
        app.router.add_route(
            "*",
            "/route/{route}/{tail:[\\s\\S]*}",
            self._wrap_handler(self._handle_plain_call),
        )
        app.router.add_route(
            "*", "/{tail:[\\s\\S]*}", self._wrap_handler(self._reject_unknown_path)
        )
        app.on_response_prepare.append(self._add_close_header)
        self._app_runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._app_runner.setup()
        await self._server.start(
            self._address.host, self._address.port, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.port

    async def on_stop(self) -> None:
        """Close the listener and all connections."""
        await self._server.stop_accepting()
        if self._app_runner is not None:
            await self._app_runner.cleanup()
        await self._server.close()

    def start_drain(self) -> None:
        """Close each connection after the response to its last received request."""
        self._is_draining = True

    async def stop_accepting(self) -> None:
        """Stop listening, and close each connection once no more requests come on it.

        Requests that are received on connections which are still open are served.
        A head that is never completed is given the time that a body has.
        """
        await self._server.stop_accepting()
        self._server.close_idle_connections(self._limits.body_timeout_ms / 1000)

    async def wait_closed(self) -> None:
        """Wait until all connections have ended, their answers with them."""
        await self._server.wait_closed()

    @property
    def open_connections(self) -> int:
        """Return the number of connections that haven't ended."""
        return self._server.open_connections

    @property
    def discarded_requests(self) -> int:
        """Return the number of requests that came behind the close of a connection."""
        return self._server.discarded_requests

    @property
    def requests_in_progress(self) -> int:
        """Return the number of requests whose answer is not complete."""
        return self._requests_in_progress

    def deliver(self, effect: AnswerEffect) -> None:
        """Queue an effect for the caller's connection.

        Resets the connection if more than ``MAX_QUEUED_BYTES`` are queued for it.
        """
        stream = self._streams_by_request.get(effect.request_id)
        if stream is None:
            return
        stream.put(effect)
        if stream.queued_bytes > MAX_QUEUED_BYTES:
            self._log_slow_caller(effect.request_id)
            stream.abort_connection()

    def _report_discarded(self, requests: int) -> None:
        self._log.write(
            "requests_discarded",
            "warning",
            step=Step.CALLER_LISTENER.value,
            requests=requests,
        )
        self._count(CountEvent("discarded_requests", amount=requests))

    def _build_protocol(self) -> CallerProtocol:
        assert self._app_runner is not None and self._app_runner.server is not None
        return CallerProtocol(
            self._app_runner.server,
            idle_timeout_s=self._limits.keepalive_timeout_ms / 1000,
            access_log=None,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            **self._bounds.build_options(),
        )

    def _build_limits(self) -> CallerLimits:
        head_bytes = MAX_LARGE_FIELDS * self._limits.header_bytes
        return CallerLimits(max(MAX_HEAD_BYTES, head_bytes))

    def _wrap_handler(
        self, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Wrap a handler to count requests in progress and to log errors.

        A ``FigshuntError`` becomes a response with its error code.
        """

        async def handle(http_request: web.Request) -> web.StreamResponse:
            self._requests_in_progress += 1
            try:
                return await handler(http_request)
            except FigshuntError as error:
                has_key = IDEMPOTENCY_KEY_HEADER in http_request.headers
                if has_key and error.code is not ErrorCode.KEY_INVALID:
                    # An earlier request with the same idempotency key may have run.
                    error.outcome = RunOutcome.MAY_HAVE_RUN
                self._log.write(
                    "request_refused",
                    "warning",
                    step=error.step.value,
                    peer=error.peer or http_request.remote,
                    code=error.code.value,
                    detail=error.detail,
                )
                return build_error_response(error)
            except ConnectionError:
                raise
            except Exception as error:
                self._log.write(
                    "request_failed",
                    "error",
                    step=Step.CALLER_LISTENER.value,
                    peer=http_request.remote,
                    code=ErrorCode.INTERNAL.value,
                    detail=f"{type(error).__name__}: {error}",
                )
                raise
            finally:
                self._requests_in_progress -= 1

        return handle

    async def _add_close_header(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Announce the close with the response to the last received request.

        Callers take it that no request behind such a response has been processed.
        """
        connection = request.protocol
        assert isinstance(connection, CallerProtocol)
        if self._is_draining and not connection.has_further_request:
            response.force_close()
            response.headers["Connection"] = "close"

    async def _handle_completion(self, http_request: web.Request) -> web.StreamResponse:
        body = await self._read_body(http_request)
        return await self._serve_request(
            http_request, body, decode_completion_body(body)
        )

    async def _handle_plain_call(self, http_request: web.Request) -> web.StreamResponse:
        body = await self._read_body(http_request)
        route = RouteName(http_request.match_info["route"])
        decoded_body = DecodedBody(route, stream=False, prompt_tokens=0, prefixes=())
        return await self._serve_request(http_request, body, decoded_body)

    async def _reject_unknown_path(
        self, http_request: web.Request
    ) -> web.StreamResponse:
        detail = (
            f"no handler for {http_request.method} "
            f"{http_request.path[:MAX_REPORTED_PATH_CHARS]!a}"
        )
        raise _build_error(ErrorCode.UNKNOWN_ROUTE, detail)

    async def _read_body(self, http_request: web.Request) -> bytes:
        too_large_detail = (
            f"request body is larger than {self._limits.body_bytes} bytes"
        )
        if (http_request.content_length or 0) > self._limits.body_bytes:
            raise _build_error(ErrorCode.BODY_TOO_LARGE, too_large_detail)
        connection = http_request.protocol
        assert isinstance(connection, CallerProtocol)
        try:
            async with limit_body_time(connection, self._limits.body_timeout_ms / 1000):
                return await http_request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise _build_error(ErrorCode.BODY_TOO_LARGE, too_large_detail) from error
        except (web.RequestPayloadError, HttpProcessingError) as error:
            if connection.fault is CallerFault.NO_MEMORY:
                detail = "no memory for further large headers"
                raise _build_error(ErrorCode.NO_MEMORY, detail) from error
            detail = f"malformed request body: {type(error).__name__}"
            raise _build_error(ErrorCode.BAD_REQUEST, detail) from error
        except TimeoutError as error:
            detail = (
                f"request body not received within {self._limits.body_timeout_ms} ms"
            )
            raise _build_error(ErrorCode.BAD_REQUEST, detail) from error

    async def _serve_request(
        self, http_request: web.Request, body: bytes, decoded_body: DecodedBody
    ) -> web.StreamResponse:
        request = self._build_request(http_request, body, decoded_body)
        stream = AnswerStream(http_request.transport)
        self._streams_by_request[request.request_id] = stream
        try:
            self._message_sink.submit(RequestArrived(request))
            return await self._stream_answer(http_request, request, stream)
        except BaseException:
            self._message_sink.submit(RequestCancelled(request.request_id))
            raise
        finally:
            del self._streams_by_request[request.request_id]

    def _build_request(
        self, http_request: web.Request, body: bytes, decoded_body: DecodedBody
    ) -> Request:
        headers = http_request.headers
        path = http_request.path
        if "route" in http_request.match_info:
            url = http_request.rel_url
            path = decode_runner_path(url.raw_path, url.raw_query_string)
        return Request(
            request_id=RequestId(uuid.uuid4().hex),
            route=decoded_body.route,
            caller_key=decode_bearer_key(headers.get("Authorization", "")),
            key=decode_idempotency_key(headers.get(IDEMPOTENCY_KEY_HEADER)),
            method=http_request.method,
            path=path,
            content_type=decode_content_type(headers.get("Content-Type")),
            body=body,
            stream=decoded_body.stream,
            prompt_tokens=decoded_body.prompt_tokens,
            prefixes=decoded_body.prefixes,
            fingerprint=fingerprint_content(path, body),
            arrived=self._clock.now(),
        )

    async def _stream_answer(
        self, http_request: web.Request, request: Request, stream: AnswerStream
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        while True:
            effect = await stream.get()
            match effect:
                case StartAnswer(_, status, content_type):
                    response = web.StreamResponse(
                        status=status,
                        headers={
                            "Content-Type": content_type,
                            "X-Request-Id": request.request_id,
                        },
                    )
                    await response.prepare(http_request)
                case SendAnswer(_, data):
                    assert response is not None
                    if stream.has_unsent_bytes or len(data) > MAX_UNTIMED_WRITE_BYTES:
                        await self._write_with_timeout(response.write(data), stream)
                    else:
                        await response.write(data)
                case EndAnswer():
                    assert response is not None
                    await self._write_with_timeout(response.write_eof(), stream)
                    return response
                case FailAnswer():
                    if response is None:
                        return build_error_response(
                            error_from_failure(effect), request.request_id
                        )
                    await self._abort_answer(http_request, response, effect)
                    return response

    async def _write_with_timeout(
        self, pending_write: Awaitable[None], stream: AnswerStream
    ) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await pending_write
        except TimeoutError as error:
            stream.abort_connection()
            raise ConnectionResetError(
                f"write to the caller did not finish within {WRITE_TIMEOUT_S} s"
            ) from error

    def _log_slow_caller(self, request_id: RequestId) -> None:
        self._log.write(
            "caller_too_slow",
            "warning",
            step=Step.CALLER_LISTENER.value,
            code=ErrorCode.STREAM_BROKEN.value,
            outcome=RunOutcome.MAY_HAVE_RUN.value,
            request=request_id,
        )

    async def _abort_answer(
        self,
        http_request: web.Request,
        response: web.StreamResponse,
        failure: FailAnswer,
    ) -> None:
        """End a partly sent answer so that a caller can't mistake it for complete."""
        if response.content_type == EVENT_STREAM:
            body = build_error_body(error_from_failure(failure), failure.request_id)
            await response.write(b"event: error\ndata: " + body + b"\n\n")
        if http_request.transport is None:
            return
        if http_request.version < HttpVersion11:
            # An HTTP/1.0 body ends when the connection closes, so only a reset shows
            # the caller that it is truncated.
            http_request.transport.abort()
        else:
            connection = http_request.protocol
            assert isinstance(connection, CallerProtocol)
            connection.break_off_response()


def _build_ssl_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    return context


def _build_error(code: ErrorCode, detail: str) -> FigshuntError:
    return FigshuntError(code, Step.CALLER_LISTENER, detail)
