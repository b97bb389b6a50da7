"""Base class of all stand-ins: an HTTP listener on the loopback address."""

import asyncio

from aiohttp import web
from mode import Service

LOOPBACK = "127.0.0.1"


class WebStandin(Service):
    """Serves one :class:`aiohttp.web.Application` on a loopback port."""

    def __init__(self, port: int = 0) -> None:
        super().__init__()
        self.port = port
        self._app_runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def url(self) -> str:
        """Return the base URL; valid only after the start."""
        return f"http://{LOOPBACK}:{self.port}"

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Bind the listener and set ``port`` to the bound port."""
        self._app_runner = web.AppRunner(
            self.build_app(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self._app_runner.setup()
        await self._listen()
        self.port = self._app_runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Cancel the background tasks and close the listener."""
        for task in tuple(self._background_tasks):
            task.cancel()
        if self._app_runner is not None:
            await self._app_runner.cleanup()

    def drop_connections(self) -> None:
        """Abort all open connections, as the exit of a process does."""
        assert self._app_runner is not None and self._app_runner.server is not None
        for connection in tuple(self._app_runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def refuse_connections(self, duration_ms: int) -> None:
        """Drop all connections, and refuse new ones for ``duration_ms``."""
        if self._site is None:
            return
        site, self._site = self._site, None
        await site.stop()
        self.drop_connections()
        await asyncio.sleep(duration_ms / 1000)
        await self._listen()

    def run_in_background(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        """Run a coroutine in a task that is cancelled when the stand-in stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _listen(self) -> None:
        assert self._app_runner is not None
        self._site = web.TCPSite(
            self._app_runner, LOOPBACK, self.port, reuse_address=True
        )
        await self._site.start()
