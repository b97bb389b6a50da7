"""Base of all stand-ins: one HTTP listener on the loopback address."""

import asyncio

from aiohttp import web
from mode import Service

LOOPBACK = "127.0.0.1"


class WebStandin(Service):
    """Serves one :class:`aiohttp.web.Application` on a loopback port."""

    def __init__(self, port: int = 0) -> None:
        super().__init__()
        self.port = port
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._background: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Return the base URL; valid once started."""
        return f"http://{LOOPBACK}:{self.port}"

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Bind the listener; ``port`` then holds the bound port."""
        self._runner = web.AppRunner(
            self.build_app(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        await self._listen()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """End background work and close the listener."""
        for task in tuple(self._background):
            task.cancel()
        if self._runner is not None:
            await self._runner.cleanup()

    def drop_connections(self) -> None:
        """Reset every open connection, as the end of a process does."""
        assert self._runner is not None and self._runner.server is not None
        for connection in tuple(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def refuse_connections(self, duration_ms: int) -> None:
        """Drop all connections and refuse new ones for ``duration_ms``."""
        if self._site is None:
            return
        site, self._site = self._site, None
        await site.stop()
        self.drop_connections()
        await asyncio.sleep(duration_ms / 1000)
        await self._listen()

    def run_in_background(self, work: "asyncio._CoroutineLike[None]") -> None:
        """Run a coroutine until it ends or the stand-in stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _listen(self) -> None:
        assert self._runner is not None
        self._site = web.TCPSite(self._runner, LOOPBACK, self.port, reuse_address=True)
        await self._site.start()
