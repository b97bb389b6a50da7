"""HTTP listener for read-only administration."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from aiohttp import web
from mode import Service

from figshunt.report import FleetReport, format_html, format_text
from figshunt.runtime import Metrics
from figshunt.settings import Address

# Time for unread responses at a stop; the library's default is 60 s.
SHUTDOWN_TIMEOUT_S = 0.1


class AdminSource(Protocol):
    """Data that the administration listener serves."""

    def report(self) -> FleetReport:
        """Return the report for the current time."""

    def status(self) -> Mapping[str, Any]:
        """Return the daemon's state as JSON-serializable values."""

    def audit(self) -> Sequence[Mapping[str, Any]]:
        """Return the audit trail, oldest entry first."""


class AdminListener(Service):
    """Serves health, readiness, status, report, audit trail and metrics.

    ``/readyz`` reports ``is_ready`` to the platform's load balancer.
    """

    def __init__(self, address: Address, source: AdminSource, metrics: Metrics) -> None:
        super().__init__()
        self._address = address
        self._source = source
        self._metrics = metrics
        self._app_runner: web.AppRunner | None = None
        self.port = address.port
        self.is_ready = False

    async def on_start(self) -> None:
        """Bind the listener and set ``port`` to the bound port."""
        app = web.Application()
        app.router.add_get("/healthz", self._handle_health)
        app.router.add_get("/readyz", self._handle_readiness)
        app.router.add_get("/status", self._handle_status)
        app.router.add_get("/report", self._handle_report)
        app.router.add_get("/audit", self._handle_audit)
        app.router.add_get("/metrics", self._handle_metrics)
        self._app_runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._app_runner.setup()
        site = web.TCPSite(self._app_runner, self._address.host, self._address.port)
        await site.start()
        self.port = self._app_runner.addresses[0][1]

    async def on_stop(self) -> None:
        """Close the listener."""
        if self._app_runner is not None:
            await self._app_runner.cleanup()

    async def _handle_health(self, _request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _handle_readiness(self, _request: web.Request) -> web.Response:
        if self.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _handle_status(self, _request: web.Request) -> web.Response:
        return web.json_response(self._source.status())

    async def _handle_report(self, request: web.Request) -> web.Response:
        report = self._source.report()
        if "text/html" in request.headers.get("Accept", ""):
            return web.Response(text=format_html(report), content_type="text/html")
        return web.Response(text=format_text(report))

    async def _handle_audit(self, _request: web.Request) -> web.Response:
        return web.json_response(list(self._source.audit()))

    async def _handle_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.exposition(), content_type="text/plain")
