"""Accepts callers over HTTP and streams answers back to them."""

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
    decode_request_key,
    decode_runner_path,
    fingerprint_content,
)
from figshunt.runtime import EventLog, Feed
from figshunt.services._answer_stream import AnswerPart, AnswerStream
from figshunt.services._caller_protocol import CallerProtocol
from figshunt.services._error_response import (
    build_error_body,
    build_error_response,
    to_error,
)
from figshunt.settings import Address, LimitSettings, TlsSettings
from figshunt.types import (
    Clock,
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

MOST_WAITING_BYTES = 1024 * 1024
# Ends what a drain left over; a drain waits for all requests before that.
FLUSH_LIMIT_S = 1.0
MOST_SHOWN_PATH = 80
WRITE_TIMEOUT_S = 30.0
# A smaller write to an idle connection can't block, so it needs no timer.
MOST_UNTIMED_BYTES = 16 * 1024
EVENT_STREAM = "text/event-stream"
KEY_HEADER = "Idempotency-Key"


class CallerListener(Service):
    """The HTTP front end: completions, chat completions and plain services."""

    def __init__(
        self,
        address: Address,
        limits: LimitSettings,
        tls: TlsSettings | None,
        feed: Feed,
        clock: Clock,
        log: EventLog,
    ) -> None:
        super().__init__()
        self._address = address
        self._limits = limits
        self._tls = tls
        self._feed = feed
        self._clock = clock
        self._log = log
        self._streams_by_request: dict[RequestId, AnswerStream] = {}
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None
        self._open_requests = 0
        self._is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self.port = address.port

    async def on_start(self) -> None:
        """Bind the listener; ``port`` then holds the bound port."""
        app = web.Application(client_max_size=self._limits.body_bytes)
        app.router.add_post("/v1/chat/completions", self._guard(self._complete))
        app.router.add_post("/v1/completions", self._guard(self._complete))
        app.router.add_route(
            "*", "/route/{route}/{tail:[\\s\\S]*}", self._guard(self._pass_through)
        )
        app.router.add_route("*", "/{tail:[\\s\\S]*}", self._guard(self._refuse_path))
        app.on_response_prepare.append(self._announce_close)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=FLUSH_LIMIT_S
        )
        await self._runner.setup()
        self._server = await asyncio.get_running_loop().create_server(
            self._build_protocol,
            self._address.host,
            self._address.port,
            ssl=_server_context(self._tls),
            reuse_address=True,
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def on_stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def start_drain(self) -> None:
        """From now on, ask callers to close their connection after its answer."""
        self._is_draining = True

    async def stop_accepting(self) -> None:
        """Accept no new connections; open ones are still served."""
        if self._server is not None:
            self._server.close()

    async def wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    @property
    def requests_in_progress(self) -> int:
        """Return how many requests have not been answered in full."""
        return self._open_requests

    def deliver(self, part: AnswerPart) -> None:
        """Hand a part of an answer to the caller's connection."""
        stream = self._streams_by_request.get(part.request_id)
        if stream is None:
            return
        stream.put(part)
        if stream.waiting_bytes > MOST_WAITING_BYTES:
            self._log_slow_caller(part.request_id)
            stream.cut_off()

    def _build_protocol(self) -> CallerProtocol:
        assert self._runner is not None and self._runner.server is not None
        return CallerProtocol(
            self._runner.server,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=self._limits.keepalive_timeout_ms / 1000,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
        )

    def _guard(
        self, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def guarded(http_request: web.Request) -> web.StreamResponse:
            self._open_requests += 1
            self._idle.clear()
            try:
                return await handler(http_request)
            except FigshuntError as error:
                has_key = KEY_HEADER in http_request.headers
                if has_key and error.code is not ErrorCode.KEY_INVALID:
                    # An earlier request with the same key may have run.
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
                self._open_requests -= 1
                if not self._open_requests:
                    self._idle.set()

        return guarded

    async def _announce_close(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        if self._is_draining:
            response.force_close()
            response.headers["Connection"] = "close"

    async def _complete(self, http_request: web.Request) -> web.StreamResponse:
        body = await self._read_body(http_request)
        return await self._serve(http_request, body, decode_completion_body(body))

    async def _pass_through(self, http_request: web.Request) -> web.StreamResponse:
        body = await self._read_body(http_request)
        route = RouteName(http_request.match_info["route"])
        decoded = DecodedBody(route, stream=False, prompt_tokens=0, prefixes=())
        return await self._serve(http_request, body, decoded)

    async def _refuse_path(self, http_request: web.Request) -> web.StreamResponse:
        detail = f"no {http_request.method} {http_request.path[:MOST_SHOWN_PATH]!a}"
        raise _refusal(ErrorCode.UNKNOWN_ROUTE, detail)

    async def _read_body(self, http_request: web.Request) -> bytes:
        too_large = f"body is larger than {self._limits.body_bytes} bytes"
        if (http_request.content_length or 0) > self._limits.body_bytes:
            raise _refusal(ErrorCode.BODY_TOO_LARGE, too_large)
        try:
            async with asyncio.timeout(self._limits.body_timeout_ms / 1000):
                return await http_request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise _refusal(ErrorCode.BODY_TOO_LARGE, too_large) from error
        except (web.RequestPayloadError, HttpProcessingError) as error:
            detail = f"body is malformed: {type(error).__name__}"
            raise _refusal(ErrorCode.BAD_REQUEST, detail) from error
        except TimeoutError as error:
            detail = f"body took longer than {self._limits.body_timeout_ms} ms"
            raise _refusal(ErrorCode.BAD_REQUEST, detail) from error

    async def _serve(
        self, http_request: web.Request, body: bytes, decoded: DecodedBody
    ) -> web.StreamResponse:
        request = self._to_request(http_request, body, decoded)
        stream = AnswerStream(http_request.transport)
        self._streams_by_request[request.request_id] = stream
        try:
            self._feed.feed(RequestArrived(request))
            return await self._send_answer(http_request, request, stream)
        except BaseException:
            self._feed.feed(RequestCancelled(request.request_id))
            raise
        finally:
            del self._streams_by_request[request.request_id]

    def _to_request(
        self, http_request: web.Request, body: bytes, decoded: DecodedBody
    ) -> Request:
        headers = http_request.headers
        path = http_request.path
        if "route" in http_request.match_info:
            url = http_request.rel_url
            path = decode_runner_path(url.raw_path, url.raw_query_string)
        return Request(
            request_id=RequestId(uuid.uuid4().hex),
            route=decoded.route,
            caller_key=decode_bearer_key(headers.get("Authorization", "")),
            key=decode_request_key(headers.get(KEY_HEADER)),
            method=http_request.method,
            path=path,
            content_type=decode_content_type(headers.get("Content-Type")),
            body=body,
            stream=decoded.stream,
            prompt_tokens=decoded.prompt_tokens,
            prefixes=decoded.prefixes,
            fingerprint=fingerprint_content(path, body),
            arrived=self._clock.now(),
        )

    async def _send_answer(
        self, http_request: web.Request, request: Request, stream: AnswerStream
    ) -> web.StreamResponse:
        response: web.StreamResponse | None = None
        while True:
            part = await stream.get()
            match part:
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
                    if stream.is_blocked or len(data) > MOST_UNTIMED_BYTES:
                        await self._bound(response.write(data), stream)
                    else:
                        await response.write(data)
                case EndAnswer():
                    assert response is not None
                    await self._bound(response.write_eof(), stream)
                    return response
                case FailAnswer():
                    if response is None:
                        return build_error_response(to_error(part), request.request_id)
                    await self._break_off(http_request, response, part)
                    return response

    async def _bound(self, writing: Awaitable[None], stream: AnswerStream) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await writing
        except TimeoutError as error:
            stream.cut_off()
            raise ConnectionResetError("caller stopped reading") from error

    def _log_slow_caller(self, request_id: RequestId) -> None:
        self._log.write(
            "caller_too_slow",
            "warning",
            step=Step.CALLER_LISTENER.value,
            code=ErrorCode.STREAM_BROKEN.value,
            outcome=RunOutcome.MAY_HAVE_RUN.value,
            request=request_id,
        )

    async def _break_off(
        self,
        http_request: web.Request,
        response: web.StreamResponse,
        failure: FailAnswer,
    ) -> None:
        """End a started answer so that no caller can take it for a whole one."""
        if response.content_type == EVENT_STREAM:
            body = build_error_body(to_error(failure), failure.request_id)
            await response.write(b"event: error\ndata: " + body + b"\n\n")
        if http_request.transport is None:
            return
        if http_request.version < HttpVersion11:
            # Only a reset tells an HTTP/1.0 caller that the body is cut short.
            http_request.transport.abort()
        else:
            http_request.transport.close()


def _server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    return context


def _refusal(code: ErrorCode, detail: str) -> FigshuntError:
    return FigshuntError(code, Step.CALLER_LISTENER, detail)
