"""The readiness and metrics listeners of a daemon."""

from collections.abc import Callable

from aiohttp import web
from mode import Service

from figshunt.gateway._settings import Address

METRICS_PATH = "/metrics"


class SideListener(Service):
    """Answers requests for one path, and 404 to all others."""

    def __init__(
        self, address: Address, path: str, answer: Callable[[], web.Response]
    ) -> None:
        super().__init__()
        self._address = address
        self._path = path
        self._answer = answer
        self._runner: web.ServerRunner | None = None

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._runner is not None
        port: int = self._runner.addresses[0][1]
        return port

    async def on_start(self) -> None:
        """Listen."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, self._address.ip, self._address.port).start()

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=404)
        return self._answer()


def build_readiness_listener(
    address: Address, path: str, is_ready: Callable[[], bool]
) -> SideListener:
    """Return a listener that answers 200 while callers may come, else 503."""
    return SideListener(
        address, path, lambda: web.Response(status=200 if is_ready() else 503)
    )


def build_metrics_listener(
    address: Address, exposition: Callable[[], bytes]
) -> SideListener:
    """Return a listener that serves all metrics in the text format."""
    return SideListener(
        address,
        METRICS_PATH,
        lambda: web.Response(body=exposition(), content_type="text/plain"),
    )
