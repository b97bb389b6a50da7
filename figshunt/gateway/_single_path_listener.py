"""HTTP listeners with a single path, for readiness checks and metrics."""

from collections.abc import Callable

from aiohttp import web
from mode import Service

from figshunt.gateway._settings import Address

METRICS_PATH = "/metrics"

# Time for unread responses at a stop; the library's default is 60 s.
SHUTDOWN_TIMEOUT_S = 0.1


class SinglePathListener(Service):
    """Serves one path and responds to all others with status 404."""

    def __init__(
        self, address: Address, path: str, build_response: Callable[[], web.Response]
    ) -> None:
        super().__init__()
        self._address = address
        self._path = path
        self._build_response = build_response
        self._server_runner: web.ServerRunner | None = None

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._server_runner is not None
        port: int = self._server_runner.addresses[0][1]
        return port

    async def on_start(self) -> None:
        """Start listening."""
        self._server_runner = web.ServerRunner(
            web.Server(self._handle, access_log=None),
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._server_runner.setup()
        await web.TCPSite(
            self._server_runner, self._address.ip, self._address.port
        ).start()

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._server_runner is not None:
            await self._server_runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=404)
        return self._build_response()


def build_readiness_listener(
    address: Address, path: str, is_ready: Callable[[], bool]
) -> SinglePathListener:
    """Return a listener that responds with 200 while the host is ready, else 503."""
    return SinglePathListener(
        address, path, lambda: web.Response(status=200 if is_ready() else 503)
    )


def build_metrics_listener(
    address: Address, exposition: Callable[[], bytes]
) -> SinglePathListener:
    """Return a listener that serves all metrics in the Prometheus text format."""
    return SinglePathListener(
        address,
        METRICS_PATH,
        lambda: web.Response(body=exposition(), content_type="text/plain"),
    )
