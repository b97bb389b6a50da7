"""Connections that send requests which never become whole."""

import asyncio
import contextlib
from dataclasses import dataclass

LOOPBACK = "127.0.0.1"
RECONNECT_S = 0.05

# A connection ends by itself after so many bytes, so that the load is bounded.
MAX_BYTES_PER_CONNECTION = 32 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class HostileRequest:
    """What one connection sends: a start, then a block again and again.

    ``pause_s`` is the time between two blocks, and ``blocks`` their number if they
    end; the connection then stays open.
    """

    start: bytes
    block: bytes
    pause_s: float = 0.01
    blocks: int | None = None


class HostileCrowd:
    """Sends hostile requests on some connections until it is left.

    A connection that the host closes is opened again. Use as an asynchronous context
    manager. ``sent_bytes`` is what all connections have sent.
    """

    def __init__(self, port: int, requests: list[HostileRequest]) -> None:
        self.sent_bytes = 0
        self._port = port
        self._requests = requests
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "HostileCrowd":
        """Open all connections."""
        self._tasks = [
            asyncio.create_task(self._attack(request)) for request in self._requests
        ]
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _attack(self, request: HostileRequest) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self._port)
                sender = asyncio.create_task(self._send(request, writer))
                try:
                    # The host ends the connection behind its response.
                    while await reader.read(64 * 1024):
                        pass
                finally:
                    sender.cancel()
                    await asyncio.gather(sender, return_exceptions=True)
                    writer.transport.abort()
            await asyncio.sleep(RECONNECT_S)

    async def _send(
        self, request: HostileRequest, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(request.start)
        blocks = MAX_BYTES_PER_CONNECTION // len(request.block)
        for _ in range(blocks if request.blocks is None else request.blocks):
            writer.write(request.block)
            await writer.drain()
            self.sent_bytes += len(request.block)
            await asyncio.sleep(request.pause_s)
