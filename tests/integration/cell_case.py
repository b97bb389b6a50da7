"""A base test case with one daemon process of a cell in front of a plain service."""

import asyncio
import unittest
from urllib.parse import quote

from aiohttp import web

from figshunt.standins import WebStandin
from tests.builders import (
    CALLER_KEY,
    build_documents,
    build_pool,
    build_raw_request,
    build_route,
    build_runner,
)
from tests.harness import (
    ACCEPT_S,
    END_PATH,
    Ending,
    Exchange,
    Fleet,
    wait_for_stream_end,
)

LARGE_ANSWER_BYTES = 600_000
SERVICE_S = 0.2

# Bodies that callers send late on a busy machine are still accepted.
BODY_TIMEOUT_MS = 10_000

# A daemon that refuses a request says with this status that it has not run.
NOT_RUN_STATUS = 503


class RecordingService(WebStandin):
    """Answers all calls and records their paths.

    An answer whose path names an end is sent in two parts, the second one then.
    """

    def __init__(self) -> None:
        super().__init__()
        self.paths: set[str] = set()

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_route("*", "/{tail:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.paths.add(request.path)
        await request.read()
        if END_PATH in request.path:
            return await self._stream(request)
        await asyncio.sleep(SERVICE_S)
        is_large = "large" in request.path
        return web.Response(body=bytes(LARGE_ANSWER_BYTES if is_large else 100))

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"first part")
        await wait_for_stream_end(request.path)
        await response.write(b"last part")
        return response


def build_call(
    request_id: str,
    body: bytes = b"{}",
    *,
    path: str = "",
    chunk_bytes: int | None = None,
) -> bytes:
    """Return a request that is passed on to the service.

    :param path: replaces its path at the service, which is its id otherwise.
    """
    return build_raw_request(
        f"/route/roster{path or '/' + quote(request_id)}",
        {"Host": "h.example", "Authorization": f"Bearer {CALLER_KEY}"},
        body,
        chunk_bytes=chunk_bytes,
    )


class CellCase(unittest.IsolatedAsyncioTestCase):
    """Runs a daemon whose route ``roster`` leads to a service of the test."""

    async def asyncSetUp(self) -> None:
        # The loop's debug mode slows the service and the callers, which share it.
        asyncio.get_running_loop().set_debug(False)
        self.service = RecordingService()
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)
        self.fleet = await self.start_fleet()
        self.daemon = self.fleet.daemons_by_seat[0]
        self.process = self.daemon.process

    async def start_fleet(self) -> Fleet:
        """Start a further daemon, with a cell of its own."""
        fleet = Fleet(self.build_documents(1), seats=1)
        fleet.settings_overrides["drain_grace_ms"] = round(ACCEPT_S * 1000)
        fleet.settings_overrides["limits"] = {"body_timeout_ms": BODY_TIMEOUT_MS}
        await fleet.__aenter__()
        self.addAsyncCleanup(fleet.__aexit__)
        return fleet

    def build_documents(self, revision: int) -> tuple[dict[str, object], ...]:
        """Return the documents of the cell's tables."""
        pool = build_pool(
            "plains",
            [build_runner("plain-1", self.service.url)],
            kind="plain",
            reports_load=False,
            limit=1_000,
            cold_limit=1_000,
        )
        return build_documents(
            revision, routes=[build_route("roster", pool="plains")], pools=[pool]
        )

    def get_passed_on(self, exchanges: list[Exchange]) -> list[Exchange]:
        """Return the exchanges without a response whose requests the service got."""
        return [
            exchange
            for exchange in exchanges
            if exchange.ending is not Ending.ANSWERED
            and f"/{exchange.request_id}" in self.service.paths
        ]
