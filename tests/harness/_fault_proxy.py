"""A TCP proxy on the loopback address that injects network faults."""

import asyncio
import contextlib
from enum import Enum

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 64 * 1024


class ProxyMode(Enum):
    """How the proxy treats connections and forwarded data."""

    PASS = "pass"
    CUT = "cut"
    FREEZE = "freeze"
    ONE_WAY = "one_way"


class FaultProxy:
    """Forwards TCP connections to a target port and injects faults.

    ``target_port`` may be set or changed after the start. ``delay_ms`` delays
    each chunk of data in both directions. The modes are:

    - ``PASS`` forwards everything.
    - ``CUT`` aborts all connections and closes each new one immediately.
    - ``FREEZE`` keeps connections open but forwards nothing, as on a half-open
      link.
    - ``ONE_WAY`` forwards data to the target and drops its responses.
    """

    def __init__(self, target_port: int | None = None) -> None:
        self.target_port = target_port
        self.delay_ms = 0
        self.port = 0
        self._mode = ProxyMode.PASS
        self._forwarding_allowed = asyncio.Event()
        self._forwarding_allowed.set()
        self._responses_allowed = asyncio.Event()
        self._responses_allowed.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> "FaultProxy":
        """Bind the listener and store its port in ``port``."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.cut()
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def restore(self) -> None:
        """Return to normal forwarding."""
        self._mode = ProxyMode.PASS
        self._forwarding_allowed.set()
        self._responses_allowed.set()

    def cut(self) -> None:
        """Abort all connections and close each new one immediately."""
        self._mode = ProxyMode.CUT
        self._forwarding_allowed.set()
        self._responses_allowed.set()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def freeze(self) -> None:
        """Keep connections open but stop forwarding in both directions."""
        self._mode = ProxyMode.FREEZE
        self._forwarding_allowed.clear()

    def drop_responses(self) -> None:
        """Forward data to the target and drop its responses."""
        self._mode = ProxyMode.ONE_WAY
        self._forwarding_allowed.set()
        self._responses_allowed.clear()

    async def open_target(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the target.

        :raises OSError: if no target port is set or the target refuses.
        """
        if self.target_port is None:
            raise ConnectionRefusedError("no target port is set")
        return await asyncio.open_connection(LOOPBACK, self.target_port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._connect(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._forwarding_allowed.wait()
        if self._mode is ProxyMode.CUT:
            return
        target_reader, target_writer = await self.open_target()
        self._writers.add(target_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer))
                group.create_task(self._forward(target_reader, writer, True))
        except* OSError:
            pass
        finally:
            self._writers.discard(target_writer)
            target_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool = False,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1000)
            await self._forwarding_allowed.wait()
            if is_response and self._mode is ProxyMode.ONE_WAY:
                # The dropped bytes leave a gap in the stream, so the connection is
                # closed instead of resumed once responses are forwarded again.
                await self._responses_allowed.wait()
                return writer.transport.abort()
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
