"""Read-only administration over HTTP."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from aiohttp import web
from mode import Service

from figshunt.report import FleetReport, format_html, format_text
from figshunt.runtime import Metrics
from figshunt.settings import Address


class AdminSource(Protocol):
    """What the administration listener shows."""

    def report(self) -> FleetReport:
        """Return the report as of now."""

    def status(self) -> Mapping[str, Any]:
        """Return the daemon's state as plain values."""

    def audit(self) -> Sequence[Mapping[str, Any]]:
        """Return the audit trail, the newest entry last."""


class AdminListener(Service):
    """Serves health, readiness, status, report, audit trail and metrics.

    ``is_ready`` is what ``/readyz`` tells the platform's balancer.
    """

    def __init__(self, address: Address, source: AdminSource, metrics: Metrics) -> None:
        super().__init__()
        self._address = address
        self._source = source
        self._metrics = metrics
        self._runner: web.AppRunner | None = None
        self.port = address.port
        self.is_ready = False

    async def on_start(self) -> None:
        """Bind the listener; ``port`` then holds the bound port."""
        app = web.Application()
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._readiness)
        app.router.add_get("/status", self._status)
        app.router.add_get("/report", self._report)
        app.router.add_get("/audit", self._audit)
        app.router.add_get("/metrics", self._exposition)
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

    async def _status(self, _request: web.Request) -> web.Response:
        return web.json_response(self._source.status())

    async def _report(self, request: web.Request) -> web.Response:
        report = self._source.report()
        if "text/html" in request.headers.get("Accept", ""):
            return web.Response(text=format_html(report), content_type="text/html")
        return web.Response(text=format_text(report))

    async def _audit(self, _request: web.Request) -> web.Response:
        return web.json_response(list(self._source.audit()))

    async def _exposition(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.exposition(), content_type="text/plain")
