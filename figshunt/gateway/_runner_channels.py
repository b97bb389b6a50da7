"""Keep-alive connections to runners, each used by one request at a time."""

import time
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from figshunt.runtime import (
    BoundedConnector,
    BoundedResponse,
    ReceiveBudget,
    forbid_resending,
)

# Runners accept connections within a few ms, and TCP retransmits a lost first
# packet only after a second. After this timeout there is still time to try another
# runner.
CONNECT_TIMEOUT_S = 0.3
READ_BUFFER_BYTES = 64 * 1024

# An idle connection is closed after this time, or a second before the time-out that
# the runner announces in its Keep-Alive header.
IDLE_TIMEOUT_S = 8.0
CLOSE_MARGIN_S = 1.0

# Idle connections kept per runner; those released beyond that are closed.
MAX_IDLE_CHANNELS = 24

# A connection remembers the ids of all requests that were sent on it, so their number
# is limited.
MAX_REQUESTS = 256


class Channel:
    """One connection to a runner, opened with its first request."""

    def __init__(self, address: str, budget: ReceiveBudget) -> None:
        self.address = address
        self.is_used = False
        self.expires_s = 0.0
        self._sent_ids: set[str] = set()
        self._requests = 0
        self._protocol: ResponseHandler | None = None
        self._share = budget.open_share()
        self._session = aiohttp.ClientSession(
            connector=BoundedConnector(
                self._share, keepalive_timeout=IDLE_TIMEOUT_S + 5, force_close=False
            ),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            response_class=BoundedResponse,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        forbid_resending(self._session)

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent on the connection.

        Bytes received after the last response belong to no request, so a
        connection with such bytes can't be used again.
        """
        protocol = self._protocol
        return (
            protocol is not None
            and protocol.is_connected()
            and not protocol.should_close
            and self._requests < MAX_REQUESTS
            and time.monotonic() < self.expires_s
        )

    def has_sent(self, request_ids: frozenset[str]) -> bool:
        """Return whether a request with one of the ids was sent on the connection."""
        return not self._sent_ids.isdisjoint(request_ids)

    def request(
        self, method: str, url: Any, request_ids: frozenset[str], **options: Any
    ) -> Any:
        """Return an asynchronous context manager that sends a request.

        :param request_ids: the ids by which its response may be identified.
        """
        self.is_used = True
        self._requests += 1
        self._sent_ids |= request_ids
        return self._session.request(method, url, **options)

    def record_response(self, response: aiohttp.ClientResponse) -> None:
        """Store a response's protocol and compute when the idle connection expires."""
        assert isinstance(response, BoundedResponse)
        self._protocol = response.handler
        idle_s = _parse_keep_alive_timeout_s(response.headers.get("Keep-Alive", ""))
        if idle_s is not None:
            idle_s = max(0.0, idle_s - CLOSE_MARGIN_S)
        self.expires_s = time.monotonic() + min(
            IDLE_TIMEOUT_S, idle_s or IDLE_TIMEOUT_S
        )

    def release_received(self) -> None:
        """Give what was received back to the budget, as it has been passed on."""
        self._share.release()

    async def close(self) -> None:
        """Close the connection, after its last response was dropped."""
        self._share.close()
        await self._session.close()


class ChannelPool:
    """Idle channels by runner address; the most recently used is reused first."""

    def __init__(self, budget: ReceiveBudget) -> None:
        self._budget = budget
        self._idle_by_address: dict[str, list[Channel]] = {}

    def has_sent(self, address: str, request_ids: frozenset[str]) -> bool:
        """Return whether an idle channel has carried a request with one of the ids."""
        idle_channels = self._idle_by_address.get(address, [])
        return any(channel.has_sent(request_ids) for channel in idle_channels)

    def acquire(self, address: str, request_ids: frozenset[str]) -> Channel:
        """Return a reusable idle channel, or a new one that isn't connected yet.

        It has carried no request with one of the ids. A runner may send a response
        twice, and the second one would be taken for that to a later request.
        """
        idle_channels = self._idle_by_address.get(address, [])
        for channel in reversed(idle_channels):
            if channel.is_reusable and not channel.has_sent(request_ids):
                idle_channels.remove(channel)
                return channel
        return Channel(address, self._budget)

    async def release(self, channel: Channel) -> None:
        """Keep a channel whose response is complete for reuse, or close it."""
        idle_channels = self._idle_by_address.setdefault(channel.address, [])
        channel.release_received()
        if channel.is_reusable and len(idle_channels) < MAX_IDLE_CHANNELS:
            idle_channels.append(channel)
        else:
            await channel.close()

    async def close_expired(self) -> None:
        """Close the idle channels that can't be reused."""
        for address, idle_channels in tuple(self._idle_by_address.items()):
            for channel in [entry for entry in idle_channels if not entry.is_reusable]:
                idle_channels.remove(channel)
                await channel.close()
            if not idle_channels:
                self._idle_by_address.pop(address, None)

    async def close(self) -> None:
        """Close all idle channels."""
        for idle_channels in self._idle_by_address.values():
            for channel in idle_channels:
                await channel.close()
        self._idle_by_address.clear()


def _parse_keep_alive_timeout_s(keep_alive: str) -> float | None:
    for parameter in keep_alive.split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
