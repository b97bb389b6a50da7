"""The readiness and metrics listeners of a daemon."""

from collections.abc import Callable

from aiohttp import web
from mode import Service

from figshunt.gateway._settings import Address

METRICS_PATH = "/metrics"


class ReadinessListener(Service):
    """Answers 200 while callers may come, else 503."""

    def __init__(
        self, address: Address, path: str, is_ready: Callable[[], bool]
    ) -> None:
        super().__init__()
        self._address = address
        self._path = path
        self._is_ready = is_ready
        self._runner: web.ServerRunner | None = None

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._runner is not None
        port: int = self._runner.addresses[0][1]
        return port

    async def on_start(self) -> None:
        """Listen."""
        self._runner = await _listen(self._address, self._answer)

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)


class MetricsListener(Service):
    """Serves all metrics in the text format."""

    def __init__(self, address: Address, exposition: Callable[[], bytes]) -> None:
        super().__init__()
        self._address = address
        self._exposition = exposition
        self._runner: web.ServerRunner | None = None

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._runner is not None
        port: int = self._runner.addresses[0][1]
        return port

    async def on_start(self) -> None:
        """Listen."""
        self._runner = await _listen(self._address, self._answer)

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=self._exposition(), content_type="text/plain")


async def _listen(
    address: Address,
    answer: Callable[[web.BaseRequest], web.StreamResponse] | object,
) -> web.ServerRunner:
    server = web.Server(answer, access_log=None)  # type: ignore[arg-type]
    runner = web.ServerRunner(server)
    await runner.setup()
    await web.TCPSite(runner, address.ip, address.port).start()
    return runner
