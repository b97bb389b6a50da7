"""HTTP client connections that limit what a server may send."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from figshunt.runtime._receive_budget import ReceiveShare

# Limit for a response's head. It exceeds the most that the event loop reads at
# once, which may contain the start of the body as well.
MAX_HEAD_BYTES = 512 * 1024


# The most that is read from a connection at once.
MAX_READ_BYTES = 32 * 1024


class OversizedResponseError(aiohttp.ClientPayloadError):
    """A server sent more of a body than is allowed."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that fails if the server sends more than is allowed.

    The HTTP library limits the lines and the number of the headers, but neither
    what may come before and between them nor the size of a body. All bytes count,
    including those of the framing. They also count towards the connection's share of
    a budget, from which the owner of the share takes them.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, share: ReceiveShare) -> None:
        super().__init__(loop)
        self._share = share
        self._allowed_bytes = MAX_HEAD_BYTES

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let the transport read less at once than by default.

        It allocates as much for each read, and what it keeps of that is scattered
        over the heap.
        """
        setattr(transport, "max_size", MAX_READ_BYTES)
        super().connection_made(transport)

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
        detail = "server sent more than is allowed"
        if self._payload is not None:
            self._payload.set_exception(OversizedResponseError(detail))
        self.set_exception(HttpProcessingError(code=502, message=detail))
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
