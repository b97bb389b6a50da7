"""Stand-in for a runner in trouble that never ends its answers."""

import asyncio

from mode import Service

from figshunt.standins._web_standin import LOOPBACK

WRITE_BYTES = 64 * 1024


class EndlessRunner(Service):
    """Answers each request with ``start``, then repeats ``repeated`` without end.

    It stops when the peer closes the connection.

    :param pause_s: time between two writes of ``write_bytes``.
    """

    def __init__(
        self,
        start: bytes,
        repeated: bytes,
        pause_s: float = 0.0,
        write_bytes: int = WRITE_BYTES,
    ) -> None:
        super().__init__()
        self.port = 0
        self.sent_bytes = 0
        self.open_connections = 0
        self._start = start
        self._repeated = repeated * max(1, write_bytes // len(repeated))
        self._pause_s = pause_s
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address; valid only after the start."""
        return f"{LOOPBACK}:{self.port}"

    async def on_start(self) -> None:
        """Bind the listener and set ``port`` to the bound port."""
        self._server = await asyncio.start_server(self._answer, LOOPBACK, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._server is not None:
            self._server.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
                # Lets the peer run, which shares the event loop in tests.
                await asyncio.sleep(self._pause_s)
        except (OSError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The stream library logs a cancelled handler as an error.
            pass
        finally:
            self.open_connections -= 1
            writer.transport.abort()
