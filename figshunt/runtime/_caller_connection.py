"""Caller connections that end only between requests."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from enum import IntEnum
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from figshunt.runtime._caller_limits import (
    STATUS_BY_FAULT,
    CallerFault,
    CallerLimits,
)
from figshunt.runtime._head_budget import HeadBudget
from figshunt.runtime._request_framing import RequestFraming

# After its last response a connection is read on until no bytes have come for this
# long, as a close with unread bytes resets it and the response is lost (RFC 9112,
# section 9.6). A caller may still be sending a body that was refused.
LINGER_S = 1.0
MAX_LINGER_S = 10.0

# A caller that was refused may send without end.
MAX_REFUSED_LINGER_S = 2.0

# The most that is read from a connection at once. The framing and the parser handle
# the shortest chunks and lines of one read within some 10 ms.
MAX_READ_BYTES = 32 * 1024

# A head whose time is over is read on while the system holds bytes of it, as these may
# have come in time while the event loop was held up.
HEAD_CHECK_S = 0.05
MAX_HEAD_CHECKS = 100

# Pause for callers for whose heads there is no memory.
MEMORY_RETRY_AFTER_S = 1

# Larger than any answer.
MAX_SEND_BUFFER_BYTES = 64 * 1024 * 1024

# A caller that goes on using its connection sends its next request within this time
# after a response or the connection's start: two ways of at most 200 ms, the time that
# operators allow for a request on its way, and 100 ms of its own.
NEXT_REQUEST_S = 0.5

# Disables the library's own timer, which closes connections with unread requests.
NO_KEEPALIVE_TIMEOUT_S = 10 * 365 * 24 * 3600.0


class ClosePriority(IntEnum):
    """Which connections are closed first if there are too many."""

    ENDING = 0
    UNUSED = 1
    IDLE = 2
    UPLOADING = 3


class RequestRefusedError(HttpProcessingError):
    """The rest of a request is not read."""

    def __init__(self, fault: CallerFault) -> None:
        super().__init__(code=STATUS_BY_FAULT[fault], message=fault.value)
        self.fault = fault


class CallerConnection(web.RequestHandler):
    """aiohttp's connection handler, which keeps account of whole requests.

    aiohttp's own ``close`` discards what is received of a request in progress.
    :meth:`close_when_idle` closes a connection once each whole request on it has its
    response, no part of a further one has arrived, and the caller has had time to send
    one. ``discarded_requests`` is the number of whole requests that were received
    behind a close; none of them is processed.

    What a caller may send of a request that isn't whole is limited before the library's
    parser, which limits single lines and keeps them. Beyond a limit nothing more is
    parsed; requests before that are answered, and the last response is an error.
    ``fault`` is the reason.

    :param idle_timeout_s: time without received bytes or a response after which a
        connection that waits for a request, or for the rest of one, is closed.
    :param next_request_s: time in which a caller sends its next request after a
        response, or its first one.
    :param head_budget: counts what this and other connections hold of heads.
    :param report_fault: is told why a request was refused.
    :param options: those of aiohttp's connection handler.
    """

    def __init__(
        self,
        manager: web.Server,
        *,
        idle_timeout_s: float,
        next_request_s: float = NEXT_REQUEST_S,
        limits: CallerLimits = CallerLimits(),
        head_budget: HeadBudget | None = None,
        report_fault: Callable[[CallerFault], None] | None = None,
        **options: Any,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            manager,
            loop=loop,
            keepalive_timeout=NO_KEEPALIVE_TIMEOUT_S,
            lingering_time=0.0,
            **options,
        )
        self._limits = limits
        self._head_budget = head_budget or HeadBudget()
        self._report_fault = report_fault
        self._framing = RequestFraming(limits.head_bytes)
        self._open_body: StreamReader | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self.fault: CallerFault | None = None
        self._responses = 0
        self.discarded_requests = 0
        self._next_request_s = next_request_s
        self._idle_timeout_s = idle_timeout_s
        # When the caller could begin to prepare its next request.
        self.opened_s = self._invited_s = self._last_received_s = loop.time()
        self._idle_timer = loop.call_later(idle_timeout_s, self._check_idle_timeout)
        self._quiet_timer: asyncio.TimerHandle | None = None
        self._closes_when_idle = False
        self._has_sent_last = False
        self._sent_last_s = 0.0
        self._is_broken_off = False
        self._open_transport: asyncio.Transport | None = None
        self._closing_task: asyncio.Task[None] | None = None
        self._closed = asyncio.Event()
        self._close_listeners: list[Callable[[], None]] = []

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request without a response has been received."""
        return (
            self._framing.completed <= self._responses
            and self._framing.is_between_requests
        )

    @property
    def has_further_request(self) -> bool:
        """Return whether one is received behind that in progress, in whole or part."""
        return (
            self._framing.completed > self._responses + 1
            or not self._framing.is_between_requests
        )

    @property
    def has_whole_request(self) -> bool:
        """Return whether a whole request waits for its response."""
        return self._framing.completed > self._responses

    @property
    def is_refused(self) -> bool:
        """Return whether nothing more is parsed after a fault of the caller."""
        return self.fault is not None

    @property
    def is_closable(self) -> bool:
        """Return whether it may be ended at once, as no request of it is served."""
        if self._open_transport is None or self._open_transport.is_closing():
            return False
        if self._has_sent_last and not self.unsent_bytes:
            # Whole requests behind a close are never processed.
            if self._now_s() - self._sent_last_s >= LINGER_S:
                return True
        if self.has_whole_request:
            return False
        return self.is_refused or not self._has_sent_last

    @property
    def close_order(self) -> tuple[ClosePriority, float]:
        """Return a key by which closable connections are sorted, first to close first.

        Pooled connections of ordinary callers are long-lived, so that the age tells
        only of connections that never had a request.
        """
        if self.is_refused or self._has_sent_last:
            return ClosePriority.ENDING, self.opened_s
        active_s = max(self._last_received_s, self._invited_s)
        if not (self._framing.is_between_requests or self._framing.is_in_text):
            return ClosePriority.UPLOADING, active_s
        if self._framing.completed > 0:
            return ClosePriority.IDLE, active_s
        return ClosePriority.UNUSED, self.opened_s

    @property
    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that the event loop hasn't read yet."""
        return self.transport is not None and _has_unread_bytes(self.transport)

    @property
    def is_made(self) -> bool:
        """Return whether the connection was made, with any TLS handshake."""
        return self._open_transport is not None

    def close_when_idle(self) -> None:
        """Close the connection once it is idle and its caller sends no more requests.

        It is closed at once if nothing has come for ``next_request_s``.
        """
        self._closes_when_idle = True
        self._close_if_idle()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the system hasn't taken yet."""
        if self._open_transport is None or self._closed.is_set():
            return 0
        return self._open_transport.get_write_buffer_size()

    def grow_send_buffer(self) -> None:
        """Let the system take unsent bytes, which it sends after the process ends."""
        if self._open_transport is None or not self.unsent_bytes:
            return
        info = self._open_transport.get_extra_info("socket")
        # The system limits the size by itself.
        info.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MAX_SEND_BUFFER_BYTES)

    def break_off_response(self) -> None:
        """End the connection behind what was sent of the response in progress.

        The caller sees that its body, sent in chunks, isn't complete.
        """
        self._is_broken_off = True

    def abort(self) -> None:
        """End the connection at once, with all that is unsent."""
        if self._open_transport is not None:
            self._open_transport.abort()

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Replace the idle timeout, which counts from the last byte or response."""
        self._idle_timeout_s = idle_timeout_s
        self._idle_timer.cancel()
        self._check_idle_timeout()

    def on_close(self, listener: Callable[[], None]) -> None:
        """Call a function once the connection has ended."""
        self._close_listeners.append(listener)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which the library forgets before it is closed."""
        assert isinstance(transport, asyncio.Transport)
        self._open_transport = transport
        setattr(transport, "max_size", MAX_READ_BYTES)
        super().connection_made(transport)
        if self.is_refused:
            transport.abort()
            return
        # The TLS handshake has taken up to some seconds.
        self._invited_s = self._last_received_s = self._now_s()
        self.set_idle_timeout(self._idle_timeout_s)
        if self._closes_when_idle:
            self._close_if_idle()

    def data_received(self, data: bytes) -> None:
        """Count and parse received bytes; discard them after the last response."""
        if self._has_sent_last:
            self._last_received_s = self._now_s()
            self._framing.feed(data)
            self._framing.head_costs.clear()
            self._count_discarded()
            return
        if self.is_refused:
            return
        # If bytes come behind a request, the library drops the request if they are
        # invalid, and the bytes if the request asks for an upgrade.
        start = 0
        for end in self._framing.feed(data):
            self._parse(data[start:end])
            start = end
        if start:
            self._stop_head_timer()
        # Empty lines between requests don't keep a connection open.
        if start or not self._framing.is_between_requests:
            self._last_received_s = self._now_s()
        if self._framing.fault is not None:
            self._refuse(self._framing.fault)
            return
        # The library calls this without data to parse what it has put off.
        if start < len(data) or not data:
            self._parse(data[start:])
        if self._framing.is_invalid and not self.is_refused:
            self._refuse(CallerFault.MALFORMED)
            return
        self._update_head()
        if self._closes_when_idle and self.is_idle:
            asyncio.get_running_loop().call_soon(self._close_if_idle)

    def refuse_for_memory(self) -> None:
        """Refuse the requests that nobody serves yet and drop what is held of them."""
        if any(body is self._open_body for _, body in self._messages):
            self._open_body = None
        # None of these is processed; the first one gets the response.
        self._messages.clear()
        self._refuse(CallerFault.NO_MEMORY)

    def refuse_connection(self) -> None:
        """End the connection at once, or as soon as it is made."""
        self.fault = CallerFault.TOO_MANY_CONNECTIONS
        self._report(self.fault)
        self.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a malformed request, without the library's log line.

        That contains what the caller sent.
        """
        if not isinstance(exc, HttpProcessingError) or request.writer.output_size > 0:
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status)
        if isinstance(exc, RequestRefusedError) and exc.fault is CallerFault.NO_MEMORY:
            response.headers["Retry-After"] = str(MEMORY_RETRY_AFTER_S)
        response.force_close()
        return response

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end of the connection."""
        super().connection_lost(exc)
        self._head_budget.hold(self, 0)
        self._stop_head_timer()
        self._idle_timer.cancel()
        if self._quiet_timer is not None:
            self._quiet_timer.cancel()
        self._closed.set()
        for listener in self._close_listeners:
            listener()
        self._close_listeners.clear()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response; after the last one, wait until the caller has read it."""
        if not request.content.is_eof() and isinstance(resp, web.StreamResponse):
            # The library closes the connection at once, without an announcement.
            resp.force_close()
        if self._is_broken_off:
            # The library would complete the body.
            result = resp, True
        else:
            result = await super().finish_response(request, resp, start_time)
        self._responses += 1
        if self._framing.head_costs:
            self._framing.head_costs.popleft()
        self._update_head()
        self._invited_s = self._now_s()
        if self._is_broken_off or not result[0].keep_alive:
            self._count_discarded()
            self._shut_down_sending()
            await self._linger()
        elif self._closes_when_idle:
            # The library waits for the next request by then.
            asyncio.get_running_loop().call_soon(self._close_if_idle)
        return result

    def _parse(self, data: bytes) -> None:
        """Let the library parse received bytes, and end a request that it refuses."""
        if self.is_refused:
            return
        super().data_received(data)
        if self._open_body is not None and self._open_body.is_eof():
            self._open_body = None
        if not self._messages:
            return
        message, body = self._messages[-1]
        if isinstance(message, _ErrInfo):
            # The library's error holds copies of what was read.
            self._messages.pop()
            is_too_long = isinstance(message.exc, LineTooLong)
            self._refuse(
                CallerFault.HEAD_TOO_LARGE if is_too_long else CallerFault.MALFORMED
            )
        elif not body.is_eof():
            self._open_body = body

    def _refuse(self, fault: CallerFault) -> None:
        """Parse no more, and fail the request that isn't whole.

        The library leaves a body that its parser refuses open for ever.
        """
        self.fault = fault
        self._framing.stop()
        # It holds the incomplete head or trailer.
        self._parser = None
        self._stop_head_timer()
        self._head_budget.hold(self, 0)
        error = RequestRefusedError(fault)
        if self._open_body is not None:
            self._open_body.set_exception(web.RequestPayloadError(fault.value), error)
            self._open_body = None
        else:
            message = _ErrInfo(error.code, error, error.message)
            self._messages.append((message, EMPTY_PAYLOAD))
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_result(None)
        self._report(fault)

    def _report(self, fault: CallerFault) -> None:
        if self._report_fault is not None:
            self._report_fault(fault)

    def _update_head(self) -> None:
        """Count what is held of requests that nobody serves, and limit its time."""
        if self.is_refused or self._closed.is_set():
            return
        if not self._framing.is_in_text:
            self._stop_head_timer()
        elif self._head_timer is None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(
                self._limits.head_timeout_s, self._check_head, MAX_HEAD_CHECKS
            )
        costs = self._framing.head_costs
        held_bytes = sum(costs) + self._framing.text_cost
        if costs and self.has_whole_request:
            held_bytes -= costs[0]
        self._head_budget.hold(self, held_bytes)

    def _check_head(self, remaining_checks: int) -> None:
        if self.transport is None or self._has_sent_last or self.is_refused:
            return
        # The library reads no more while requests or bodies wait for their handlers.
        is_paused = self._reading_paused or self._buffer_paused
        if is_paused or (self.has_unread_bytes and remaining_checks):
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(
                HEAD_CHECK_S, self._check_head, remaining_checks - (not is_paused)
            )
        else:
            self._refuse(CallerFault.HEAD_TOO_SLOW)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _count_discarded(self) -> None:
        # The request of the last response may have been incomplete when it was sent.
        self.discarded_requests = max(0, self._framing.completed - self._responses)

    def _close_if_idle(self) -> None:
        if self._quiet_timer is not None:
            self._quiet_timer.cancel()
            self._quiet_timer = None
        if self.transport is None or self._has_sent_last or not self.is_idle:
            return
        wait_s = self._invited_s + self._next_request_s - self._now_s()
        if wait_s > 0:
            loop = asyncio.get_running_loop()
            self._quiet_timer = loop.call_later(wait_s, self._close_if_idle)
        elif not self.has_unread_bytes:
            self._close_idle()

    def _check_idle_timeout(self) -> None:
        if self.transport is None or self._has_sent_last:
            return
        wait_s = max(
            self._last_received_s + self._idle_timeout_s,
            self._invited_s + max(self._idle_timeout_s, self._next_request_s),
        )
        wait_s -= self._now_s()
        if self.has_whole_request or self.has_unread_bytes:
            wait_s = self._idle_timeout_s
        if wait_s <= 0:
            self._close_idle()
            return
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(wait_s, self._check_idle_timeout)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _close_idle(self) -> None:
        """Let the caller see the close at once.

        A transport's own close takes effect in a later turn of the event loop, and
        whole requests may arrive until then.
        """
        self._shut_down_sending()
        loop = asyncio.get_running_loop()
        self._closing_task = loop.create_task(self._close_after_linger())

    async def _close_after_linger(self) -> None:
        await self._linger()
        self.force_close()

    def _shut_down_sending(self) -> None:
        """Half-close the connection behind the bytes that are still to be sent."""
        self._has_sent_last = True
        self._sent_last_s = self._now_s()
        if self.transport is None:
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        # The library pauses reading while nobody takes the body of a request.
        self.transport.resume_reading()

    async def _linger(self) -> None:
        """Wait until all bytes are sent and the caller has had time to read them."""
        transport = self.transport
        if transport is None:
            return
        # With TLS the caller sees no close meanwhile, so it only waits for the rest
        # of a request that was refused.
        if not transport.can_write_eof() and self._framing.is_between_requests:
            return
        max_linger_s = MAX_REFUSED_LINGER_S if self.is_refused else MAX_LINGER_S
        end_s = self._now_s() + max_linger_s
        while not self._closed.is_set():
            was_flushed = not transport.get_write_buffer_size()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LINGER_S):
                    await self._closed.wait()
            quiet_s = self._now_s() - self._last_received_s
            if was_flushed and (quiet_s >= LINGER_S or self._now_s() >= end_s):
                return


def _has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether the system holds bytes that the event loop hasn't read yet."""
    info = transport.get_extra_info("socket")
    if info is None:
        return False
    peeker = socket.socket(info.family, info.type, info.proto, info.fileno())
    try:
        return bool(peeker.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
    finally:
        peeker.detach()
