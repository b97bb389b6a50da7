"""Caller connections that end only between requests."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from aiohttp import web

from figshunt.runtime._request_framing import RequestFraming

# After its last response a connection is read on until no bytes have come for this
# long, as a close with unread bytes resets it and the response is lost (RFC 9112,
# section 9.6). A caller may still be sending a body that was refused.
LINGER_S = 1.0
MAX_LINGER_S = 10.0

# Behind the last response no parser limits the size of a head.
MAX_DISCARDED_HEAD_BYTES = 64 * 1024

# Larger than any answer.
MAX_SEND_BUFFER_BYTES = 64 * 1024 * 1024

# A caller that goes on using its connection sends its next request within this time
# after a response or the connection's start: two ways of at most 200 ms, the time that
# operators allow for a request on its way, and 100 ms of its own.
NEXT_REQUEST_S = 0.5

# Disables the library's own timer, which closes connections with unread requests.
NO_KEEPALIVE_TIMEOUT_S = 10 * 365 * 24 * 3600.0


class CallerConnection(web.RequestHandler):
    """aiohttp's connection handler, which keeps account of whole requests.

    aiohttp's own ``close`` discards what is received of a request in progress.
    :meth:`close_when_idle` closes a connection once each whole request on it has its
    response, no part of a further one has arrived, and the caller has had time to send
    one. ``discarded_requests`` is the number of whole requests that were received
    behind a close; none of them is processed.

    :param idle_timeout_s: time without received bytes or a response after which a
        connection that waits for a request, or for the rest of one, is closed.
    :param next_request_s: time in which a caller sends its next request after a
        response, or its first one.
    :param options: those of aiohttp's connection handler.
    """

    def __init__(
        self,
        manager: web.Server,
        *,
        idle_timeout_s: float,
        next_request_s: float = NEXT_REQUEST_S,
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
        self._framing = RequestFraming()
        self._responses = 0
        self.discarded_requests = 0
        self._next_request_s = next_request_s
        self._idle_timeout_s = idle_timeout_s
        # When the caller could begin to prepare its next request.
        self._invited_s = self._last_received_s = loop.time()
        self._idle_timer = loop.call_later(idle_timeout_s, self._check_idle_timeout)
        self._quiet_timer: asyncio.TimerHandle | None = None
        self._closes_when_idle = False
        self._has_sent_last = False
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
        super().connection_made(transport)
        # The TLS handshake has taken up to some seconds.
        self._invited_s = self._last_received_s = self._now_s()
        self.set_idle_timeout(self._idle_timeout_s)
        if self._closes_when_idle:
            self._close_if_idle()

    def data_received(self, data: bytes) -> None:
        """Count and parse received bytes; discard them after the last response."""
        self._last_received_s = self._now_s()
        if self._has_sent_last:
            self._discard(data)
            return
        # If bytes come behind a request, the library drops the request if they are
        # invalid, and the bytes if the request asks for an upgrade.
        start = 0
        for end in self._framing.feed(data):
            super().data_received(data[start:end])
            start = end
        # The library calls this without data to parse what it has put off.
        if start < len(data) or not data:
            super().data_received(data[start:])
        if self._closes_when_idle and self.is_idle:
            asyncio.get_running_loop().call_soon(self._close_if_idle)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Report the end of the connection."""
        super().connection_lost(exc)
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
        self._invited_s = self._now_s()
        if self._is_broken_off or not result[0].keep_alive:
            self._count_discarded()
            self._shut_down_sending()
            await self._linger()
        elif self._closes_when_idle:
            # The library waits for the next request by then.
            asyncio.get_running_loop().call_soon(self._close_if_idle)
        return result

    def _discard(self, data: bytes) -> None:
        self._framing.feed(data)
        if self._framing.pending_bytes > MAX_DISCARDED_HEAD_BYTES:
            self._framing.stop()
        self._count_discarded()

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
        end_s = self._now_s() + MAX_LINGER_S
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
