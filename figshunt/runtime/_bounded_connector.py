"""HTTP client connections that limit what a server may send."""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

# Limit for a response's head. It exceeds the most that the event loop reads at
# once, which may contain the start of the body as well.
MAX_HEAD_BYTES = 512 * 1024


class OversizedResponseError(aiohttp.ClientPayloadError):
    """A server sent more of a body than is allowed."""


class BoundedResponseHandler(ResponseHandler):
    """A connection that fails if the server sends more than is allowed.

    The HTTP library limits the lines and the number of the headers, but neither
    what may come before and between them nor the size of a body. All bytes count,
    including those of the framing.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._allowed_bytes = MAX_HEAD_BYTES

    def allow(self, max_bytes: int) -> None:
        """Allow ``max_bytes`` more, instead of what was still allowed before."""
        self._allowed_bytes = max_bytes

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._allowed_bytes = MAX_HEAD_BYTES
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse the data, or fail the response if it exceeds what is allowed."""
        self._allowed_bytes -= len(data)
        if self._allowed_bytes >= 0:
            super().data_received(data)
            return
        detail = "server sent more than is allowed"
        if self._payload is not None:
            self._payload.set_exception(OversizedResponseError(detail))
        self.set_exception(HttpProcessingError(code=502, message=detail))
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """A connector whose connections are :class:`BoundedResponseHandler` objects."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: functools.partial[Any] = functools.partial(
            BoundedResponseHandler, loop=self._loop
        )
        self._factory = factory


def allow_body(response: aiohttp.ClientResponse, max_bytes: int) -> None:
    """Allow that many bytes more of the body of a response.

    A response that was received completely has no connection and needs none.
    """
    connection = response.connection
    if connection is not None and connection.protocol is not None:
        assert isinstance(connection.protocol, BoundedResponseHandler)
        connection.protocol.allow(max_bytes)
