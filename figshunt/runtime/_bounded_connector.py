"""HTTP client connections that limit what a server may send."""

import asyncio
import functools
import struct
import termios
from fcntl import ioctl
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http_exceptions import HttpProcessingError

from figshunt.runtime._receive_budget import ReceiveShare

# Limit for a response's head. It exceeds the most that the event loop reads at
# once, which may contain the start of the body as well.
MAX_HEAD_BYTES = 512 * 1024


# The most that is read from a connection at once.
MAX_READ_BYTES = 32 * 1024


VALID_STATUSES = range(200, 600)

OVERSIZED_DETAIL = "server sent more than is allowed"


class InvalidStatusError(ValueError):
    """A server sent a status that no final response has."""


class OversizedResponseError(aiohttp.ClientPayloadError):
    """A server sent more of a body than is allowed."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that fails if the server sends more than is allowed.

    The HTTP library limits the lines and the number of the headers, but neither
    what may come before and between them nor the size of a body. All bytes count,
    including those of the framing. They also count towards the connection's share of
    a budget, from which the owner of the share takes them.

    ``is_truncated`` is set if a body without a length ended with a reset, or before the
    server had received the whole request. The library takes both for its end, and an
    error of the upload may replace that of the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, share: ReceiveShare) -> None:
        super().__init__(loop)
        self._share = share
        self._allowed_bytes = MAX_HEAD_BYTES
        self._ended_within_request = False
        self._oversized_body: aiohttp.StreamReader | None = None
        self.is_truncated = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the transport read less at once than by default.

        It allocates as much for each read, and what it keeps of that is scattered
        over the heap.
        """
        setattr(transport, "max_size", MAX_READ_BYTES)
        super().connection_made(transport)

    def eof_received(self) -> None:
        """Note whether the server ended its side before it had the whole request."""
        assert self.transport is not None
        self._ended_within_request = _has_unreceived_bytes(self.transport)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note whether the end of the connection cuts off a body."""
        ends_body = self._payload is not None and not self._payload.is_eof()
        is_cut = exc is not None or self._ended_within_request
        self.is_truncated = ends_body and is_cut
        super().connection_lost(exc)
        if self._oversized_body is not None:
            # The library reports the end of the connection to a reader that comes late.
            self._oversized_body.set_exception(OversizedResponseError(OVERSIZED_DETAIL))

    def allow(self, max_bytes: int, kept_bytes: int = 0) -> None:
        """Allow ``max_bytes`` more, instead of what was still allowed before.

        Of what was received so far, all but ``kept_bytes`` has been passed on.
        """
        self._allowed_bytes = max_bytes
        self._share.keep(kept_bytes)

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self.allow(MAX_HEAD_BYTES)
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse the data, or fail the response if it exceeds what is allowed."""
        self._allowed_bytes -= len(data)
        has_room = self._share.try_grow(len(data))
        if self._allowed_bytes >= 0 and has_room:
            super().data_received(data)
            return
        if self._payload is not None:
            self._oversized_body = self._payload
            self._payload.set_exception(OversizedResponseError(OVERSIZED_DETAIL))
        self.set_exception(HttpProcessingError(code=502, message=OVERSIZED_DETAIL))
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """A connector for one :class:`BoundedResponseHandler` at a time.

    :param share: what its connections may hold; the caller releases it once it has
        dropped what it received.
    """

    def __init__(self, share: ReceiveShare, **options: Any) -> None:
        super().__init__(limit=1, **options)
        factory: functools.partial[Any] = functools.partial(
            BoundedResponseHandler, loop=self._loop, share=share
        )
        self._factory = factory


class BoundedResponse(aiohttp.ClientResponse):
    """A response on a connection of a :class:`BoundedConnector`.

    The library releases the connection as soon as the response is complete. After that,
    only ``handler`` shows how it ended and whether further bytes have arrived.
    """

    handler: BoundedResponseHandler | None = None

    async def start(self, connection: Connection) -> "BoundedResponse":
        """Read the status line and headers.

        :raises InvalidStatusError: if the status isn't that of a final response.
        """
        assert isinstance(connection.protocol, BoundedResponseHandler)
        self.handler = connection.protocol
        await super().start(connection)
        check_status(self)
        return self

    def check_complete(self) -> None:
        """Check a response whose body was read to its end.

        :raises aiohttp.ServerDisconnectedError: if the connection's end cut it off.
        """
        if self.handler is not None and self.handler.is_truncated:
            raise aiohttp.ServerDisconnectedError(
                "connection ended before the end of the response"
            )


def check_status(response: aiohttp.ClientResponse) -> None:
    """Check that a response has the status of a final one.

    :raises InvalidStatusError: if it hasn't.
    """
    if response.status not in VALID_STATUSES:
        raise InvalidStatusError(f"invalid HTTP status {response.status:03}")


def forbid_resending(session: aiohttp.ClientSession) -> None:
    """Let the session send each request once.

    The HTTP library sends a lost request again if its method is idempotent. If that
    can't connect, it reports that the request was not sent.
    """
    session._retry_connection = False


def allow_body(
    response: aiohttp.ClientResponse, max_bytes: int, passed_bytes: int = 0
) -> None:
    """Allow that many bytes more of the body of a response.

    What was received after the first ``passed_bytes`` of the body is still held, as it
    may be unread in the HTTP library or end within an event. A response that was
    received completely has no connection and needs none.
    """
    connection = response.connection
    if connection is not None and connection.protocol is not None:
        assert isinstance(connection.protocol, BoundedResponseHandler)
        kept_bytes = response.content.total_bytes - passed_bytes
        connection.protocol.allow(max_bytes, kept_bytes)


def _has_unreceived_bytes(transport: asyncio.Transport) -> bool:
    """Return whether bytes are unsent, or the peer hasn't acknowledged them."""
    info = transport.get_extra_info("socket")
    if transport.get_write_buffer_size() or info is None:
        return bool(transport.get_write_buffer_size())
    try:
        (unacknowledged,) = struct.unpack(
            "i", ioctl(info.fileno(), termios.TIOCOUTQ, bytes(struct.calcsize("i")))
        )
    except OSError:
        return False
    return bool(unacknowledged)
