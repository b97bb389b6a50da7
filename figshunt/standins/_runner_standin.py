"""What the stand-ins of all runners have in common."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from aiohttp import web

from figshunt.standins._load_history import LoadHistory, ReportProfile
from figshunt.standins._runner_state import RunCounter, RunnerState
from figshunt.standins._web_standin import WebStandin
from figshunt.types import SystemClock

MOST_BODY_BYTES = 2**24
RESTART_MS = 300
NDJSON = "application/x-ndjson"


class RunnerStandin(WebStandin):
    """Reports load, can crash, and answers the controls under ``/standin/``.

    ``POST /standin/crash``, ``/standin/cold``, ``/standin/leave`` and
    ``/standin/slow?factor=N`` do what their names say; ``GET
    /standin/counters`` and ``/standin/runs`` return what was counted.
    """

    def __init__(
        self, state: RunnerState, reports: ReportProfile, port: int = 0
    ) -> None:
        super().__init__(port)
        self.runner_state = state
        self.runs_by_key = RunCounter()
        self.runs_by_attempt = RunCounter()
        self._reports = reports
        self._history = LoadHistory(reports, SystemClock())

    async def on_start(self) -> None:
        """Bind the listener and begin to sample the load."""
        self._history.record(self.runner_state.snapshot())
        await super().on_start()
        self.run_in_background(self._sample_load())

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=MOST_BODY_BYTES)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/standin/counters", self._report_counters)
        app.router.add_get("/standin/runs", self._report_runs)
        for name, action in self._actions().items():
            app.router.add_post(f"/standin/{name}", action)
        self.add_routes(app)
        return app

    def add_routes(self, app: web.Application) -> None:
        """Add the paths of the service itself."""
        raise NotImplementedError

    def forget_work(self) -> None:
        """Lose what a restart loses; handlers are cancelled by their connections."""

    def crash_runner(self) -> None:
        """Drop all connections, then start again cold with a new identity."""
        self.runner_state.totals.crashes += 1
        self.runner_state.restart()
        self.forget_work()
        self._history.record(self.runner_state.snapshot())
        self.drop_connections()
        self.run_in_background(self.refuse_connections(RESTART_MS))

    async def run_counted(
        self,
        request: web.Request,
        run: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Run one call, counting it by key and attempt; collapse if too cold."""
        for header, counter in (
            ("Idempotency-Key", self.runs_by_key),
            ("X-Attempt-Id", self.runs_by_attempt),
        ):
            if header in request.headers:
                counter.add(request.headers[header])
        life = self.runner_state.start_identity
        try:
            if not self.runner_state.enter():
                self.runner_state.totals.collapses += 1
                self.crash_runner()
                return web.Response(status=503)
            response = await run(request)
            if life == self.runner_state.start_identity:
                self.runner_state.complete()
            return response
        except asyncio.CancelledError:
            self.runner_state.totals.cancelled += 1
            raise
        except ConnectionError as error:
            self.runner_state.totals.cancelled += 1
            # aiohttp logs any other exception as a fault of the handler.
            raise asyncio.CancelledError from error
        finally:
            self.runner_state.leave()

    def _actions(
        self,
    ) -> dict[str, Callable[[web.Request], Awaitable[web.StreamResponse]]]:
        return {
            "crash": self._handle_crash,
            "cold": self._turn_cold,
            "slow": self._slow_down,
            "leave": self._leave,
        }

    async def _handle_crash(self, request: web.Request) -> web.Response:
        response = web.Response(status=204)
        await response.prepare(request)
        await response.write_eof()
        self.crash_runner()
        return response

    async def _turn_cold(self, _request: web.Request) -> web.Response:
        self.runner_state.turn_cold()
        return web.Response(status=204)

    async def _slow_down(self, request: web.Request) -> web.Response:
        self.runner_state.slow_factor = float(request.query.get("factor", "10"))
        return web.Response(status=204)

    async def _leave(self, request: web.Request) -> web.Response:
        self.runner_state.leaving = request.query.get("undo") != "1"
        return web.Response(status=204)

    async def _report_counters(self, _request: web.Request) -> web.Response:
        counters = {
            **asdict(self.runner_state.snapshot()),
            **asdict(self.runner_state.totals),
            "is_cold": self.runner_state.is_cold,
            "most_runs_of_key": self.runs_by_key.most_runs,
            "most_runs_of_attempt": self.runs_by_attempt.most_runs,
            "ids_not_kept": self.runs_by_key.not_kept + self.runs_by_attempt.not_kept,
        }
        return web.json_response(counters)

    async def _report_runs(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                "by_key": dict(self.runs_by_key.runs_by_id),
                "by_attempt": dict(self.runs_by_attempt.runs_by_id),
            }
        )

    async def _sample_load(self) -> None:
        while True:
            self._history.record(self.runner_state.snapshot())
            await asyncio.sleep(self._reports.interval_ms / 1000)

    async def _report_load(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": NDJSON})
        await response.prepare(request)
        while True:
            if self._reports.lag_ms == 0:
                self._history.record(self.runner_state.snapshot())
            line = json.dumps(self._history.report()) + "\n"
            await response.write(line.encode())
            if request.query.get("watch") != "1":
                await response.write_eof()
                return response
            await asyncio.sleep(self._reports.interval_ms / 1000)
