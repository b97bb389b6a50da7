"""Base of all stand-ins: one HTTP listener on the loopback address."""

from aiohttp import web
from mode import Service

LOOPBACK = "127.0.0.1"


class WebStandin(Service):
    """Serves one :class:`aiohttp.web.Application` on a loopback port."""

    def __init__(self, port: int = 0) -> None:
        super().__init__()
        self.port = port
        self._runner: web.AppRunner | None = None

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
        site = web.TCPSite(self._runner, LOOPBACK, self.port, reuse_address=True)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()
