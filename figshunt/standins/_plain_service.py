"""Stand-in of a plain service some of whose calls may not be repeated."""

import asyncio
import json
import random
import uuid
from collections import Counter

from aiohttp import web

from figshunt.standins._web_standin import WebStandin

REPORT_INTERVAL_S = 0.25


class PlainService(WebStandin):
    """Answers every call after ``service_ms`` and counts runs by key."""

    def __init__(
        self, service_ms: float, random_source: random.Random, port: int = 0
    ) -> None:
        super().__init__(port)
        self._service_ms = service_ms
        self.start_identity = uuid.UUID(int=random_source.getrandbits(128)).hex
        self.runs_by_key: Counter[str] = Counter()
        self.completed = 0
        self.running = 0
        self.leaving = False

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=2**24)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/runs", self._report_runs)
        app.router.add_route("*", "/{tail:.*}", self._run)
        return app

    async def _run(self, request: web.Request) -> web.Response:
        key = request.headers.get("Idempotency-Key", "")
        if key:
            self.runs_by_key[key] += 1
        self.running += 1
        try:
            await asyncio.sleep(self._service_ms / 1000)
            self.completed += 1
            return web.json_response({"path": request.path, "key": key})
        finally:
            self.running -= 1

    async def _report_runs(self, _request: web.Request) -> web.Response:
        return web.json_response(dict(self.runs_by_key))

    async def _report_load(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        await response.prepare(request)
        while True:
            report = {
                "start": self.start_identity,
                "completed": self.completed,
                "running": self.running,
                "queued": 0,
                "token_time_us": 0,
                "leaving": self.leaving,
                "age_ms": 0,
            }
            await response.write(json.dumps(report).encode() + b"\n")
            await asyncio.sleep(REPORT_INTERVAL_S)
