"""Read-only administration over HTTP."""

from aiohttp import web
from mode import Service

from figshunt.settings import Address


class AdminListener(Service):
    """Serves ``/healthz`` and ``/readyz``."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self._address = address
        self._runner: web.AppRunner | None = None
        self.port = address.port
        self.is_ready = False

    async def on_start(self) -> None:
        """Bind the listener; ``port`` then holds the bound port."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._readiness)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address.host, self._address.port)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, _request: web.Request) -> web.Response:
        if self.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")
