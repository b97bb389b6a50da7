"""Accepts callers over HTTP and streams answers back to them."""

import asyncio
import ssl
import uuid
from collections.abc import Awaitable, Callable

from aiohttp import web
from mode import Service

from figshunt.codec import (
    DecodedBody,
    decode_completion_body,
    encode_error,
    fingerprint_content,
)
from figshunt.services._answer_stream import AnswerPart, AnswerStream
from figshunt.services._event_log import EventLog
from figshunt.services._feed import Feed
from figshunt.settings import Address, LimitSettings, TlsSettings
from figshunt.types import (
    HTTP_STATUS_BY_CODE,
    Clock,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    FigshuntError,
    Request,
    RequestArrived,
    RequestCancelled,
    RequestId,
    RequestKey,
    RouteName,
    RunOutcome,
    SendAnswer,
    StartAnswer,
    Step,
)

MOST_WAITING_BYTES = 1024 * 1024
# Ends what a drain left over; a drain waits for all requests before that.
FLUSH_LIMIT_S = 1.0
EVENT_STREAM = "text/event-stream"


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
        self._site: web.TCPSite | None = None
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
            "*", "/route/{route}/{tail:.*}", self._guard(self._pass_through)
        )
        app.on_response_prepare.append(self._announce_close)
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=FLUSH_LIMIT_S,
            keepalive_timeout=self._limits.keepalive_timeout_ms / 1000,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
            ssl_context=_server_context(self._tls),
        )
        await self._site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def start_drain(self) -> None:
        """From now on, ask callers to close their connection after its answer."""
        self._is_draining = True

    async def stop_accepting(self) -> None:
        """Accept no new connections; open ones are still served."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

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
        if stream is not None:
            stream.put(part)

    def _guard(
        self, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def guarded(http_request: web.Request) -> web.StreamResponse:
            self._open_requests += 1
            self._idle.clear()
            try:
                return await handler(http_request)
            except FigshuntError as error:
                self._log.write(
                    "request_refused",
                    "warning",
                    step=error.step.value,
                    peer=error.peer or http_request.remote,
                    code=error.code.value,
                    detail=error.detail,
                )
                return _error_response(error)
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

    async def _read_body(self, http_request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(self._limits.body_timeout_ms / 1000):
                return await http_request.read()
        except web.HTTPRequestEntityTooLarge as error:
            detail = f"body is larger than {self._limits.body_bytes} bytes"
            raise _refusal(ErrorCode.BODY_TOO_LARGE, detail) from error
        except TimeoutError as error:
            detail = f"body took longer than {self._limits.body_timeout_ms} ms"
            raise _refusal(ErrorCode.BAD_REQUEST, detail) from error

    async def _serve(
        self, http_request: web.Request, body: bytes, decoded: DecodedBody
    ) -> web.StreamResponse:
        request = self._to_request(http_request, body, decoded)
        stream = AnswerStream()
        self._streams_by_request[request.request_id] = stream
        try:
            self._feed.feed(RequestArrived(request))
            return await self._send_answer(http_request, request, stream)
        except (asyncio.CancelledError, ConnectionError):
            self._feed.feed(RequestCancelled(request.request_id))
            raise
        finally:
            del self._streams_by_request[request.request_id]

    def _to_request(
        self, http_request: web.Request, body: bytes, decoded: DecodedBody
    ) -> Request:
        path = _runner_path(http_request)
        key = http_request.headers.get("Idempotency-Key")
        return Request(
            request_id=RequestId(uuid.uuid4().hex),
            route=decoded.route,
            caller_key=_bearer_key(http_request),
            key=RequestKey(key) if key else None,
            method=http_request.method,
            path=path,
            content_type=http_request.content_type,
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
                    if stream.waiting_bytes > MOST_WAITING_BYTES:
                        raise ConnectionResetError("caller reads too slowly")
                    await response.write(data)
                case EndAnswer():
                    assert response is not None
                    await response.write_eof()
                    return response
                case FailAnswer():
                    if response is None:
                        return _error_response(_to_error(part), request.request_id)
                    await self._break_off(http_request, response, part)
                    return response

    async def _break_off(
        self,
        http_request: web.Request,
        response: web.StreamResponse,
        failure: FailAnswer,
    ) -> None:
        """End a started answer so that no caller can take it for a whole one."""
        if response.content_type == EVENT_STREAM:
            body = _error_body(_to_error(failure), failure.request_id)
            await response.write(b"event: error\ndata: " + body + b"\n\n")
        if http_request.transport is not None:
            http_request.transport.close()


def _runner_path(http_request: web.Request) -> str:
    if "route" not in http_request.match_info:
        return http_request.path
    path = "/" + http_request.match_info["tail"]
    query = http_request.query_string
    return f"{path}?{query}" if query else path


def _bearer_key(http_request: web.Request) -> str:
    scheme, _, key = http_request.headers.get("Authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    return context


def _refusal(code: ErrorCode, detail: str) -> FigshuntError:
    return FigshuntError(code, Step.CALLER_LISTENER, detail)


def _to_error(failure: FailAnswer) -> FigshuntError:
    return FigshuntError(
        failure.code,
        failure.step,
        failure.detail,
        peer=failure.peer,
        outcome=failure.outcome,
        retry_after_ms=failure.retry_after_ms,
    )


def _error_body(error: FigshuntError, request_id: str) -> bytes:
    return encode_error(
        {
            "code": error.code.value,
            "outcome": error.outcome.value,
            "step": error.step.value,
            "peer": error.peer,
            "message": error.detail,
            "request_id": request_id,
        }
    )


def _error_response(error: FigshuntError, request_id: str = "") -> web.Response:
    headers = {"X-Run-Outcome": error.outcome.value}
    if error.retry_after_ms is not None:
        headers["Retry-After"] = str(max(1, -(-error.retry_after_ms // 1000)))
    if error.outcome is not RunOutcome.NOT_RUN:
        headers["X-Should-Retry"] = "false"
    return web.Response(
        status=HTTP_STATUS_BY_CODE.get(error.code, 500),
        body=_error_body(error, request_id),
        content_type="application/json",
        headers=headers,
    )
