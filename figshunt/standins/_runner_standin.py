"""Base class of the stand-ins for runners."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from aiohttp import web

from figshunt.standins._load_history import LoadHistory, ReportProfile
from figshunt.standins._runner_state import RunCounter, RunnerState
from figshunt.standins._web_standin import WebStandin
from figshunt.types import SystemClock

MAX_BODY_BYTES = 2**24
RESTART_DELAY_MS = 300
NDJSON = "application/x-ndjson"


class RunnerStandin(WebStandin):
    """Reports its load, can crash, and serves controls under ``/standin/``.

    ``POST /standin/crash`` crashes the runner, which then restarts cold;
    ``/standin/cold`` makes it cold without a restart, ``/standin/leave``
    announces that it is leaving (``?undo=1`` revokes this) and
    ``/standin/slow?factor=N`` multiplies the durations of its work. ``GET
    /standin/counters`` and ``/standin/runs`` return the counters and the runs
    by key and by attempt.
    """

    def __init__(
        self, state: RunnerState, reports: ReportProfile, port: int = 0
    ) -> None:
        super().__init__(port)
        self.runner_state = state
        self.runs_by_key = RunCounter()
        self.runs_by_attempt = RunCounter()
        self._reports = reports
        self._load_history = LoadHistory(reports, SystemClock())

    async def on_start(self) -> None:
        """Bind the listener and start sampling the load."""
        self._load_history.record(self.runner_state.snapshot())
        await super().on_start()
        self.run_in_background(self._sample_load())

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/standin/counters", self._report_counters)
        app.router.add_get("/standin/runs", self._report_runs)
        for name, handler in self._control_handlers().items():
            app.router.add_post(f"/standin/{name}", handler)
        self.add_routes(app)
        return app

    def add_routes(self, app: web.Application) -> None:
        """Register the paths of the runner itself."""
        raise NotImplementedError

    def discard_work(self) -> None:
        """Discard the state that a restart loses.

        Calls in progress need no cleanup here, because their handlers are
        cancelled when their connections are dropped.
        """

    def crash_runner(self) -> None:
        """Drop all connections and restart cold with a new start identity."""
        self.runner_state.totals.crashes += 1
        self.runner_state.restart()
        self.discard_work()
        self._load_history.record(self.runner_state.snapshot())
        self.drop_connections()
        self.run_in_background(self.refuse_connections(RESTART_DELAY_MS))

    async def count_and_run(
        self,
        request: web.Request,
        run: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Run one call and count it by idempotency key and attempt id.

        The runner crashes if the call exceeds its limit while cold.
        """
        for header, counter in (
            ("Idempotency-Key", self.runs_by_key),
            ("X-Attempt-Id", self.runs_by_attempt),
        ):
            if header in request.headers:
                counter.add(request.headers[header])
        start_identity = self.runner_state.start_identity
        try:
            if not self.runner_state.add_request():
                self.runner_state.totals.collapses += 1
                self.crash_runner()
                return web.Response(status=503)
            response = await run(request)
            if start_identity == self.runner_state.start_identity:
                self.runner_state.record_completion()
            return response
        except asyncio.CancelledError:
            self.runner_state.totals.cancelled += 1
            raise
        except ConnectionError as error:
            self.runner_state.totals.cancelled += 1
            # aiohttp logs any other exception as an error in the handler.
            raise asyncio.CancelledError from error
        finally:
            self.runner_state.remove_request()

    def _control_handlers(
        self,
    ) -> dict[str, Callable[[web.Request], Awaitable[web.StreamResponse]]]:
        return {
            "crash": self._handle_crash,
            "cold": self._handle_cold,
            "slow": self._handle_slow,
            "leave": self._handle_leave,
        }

    async def _handle_crash(self, request: web.Request) -> web.Response:
        response = web.Response(status=204)
        await response.prepare(request)
        await response.write_eof()
        self.crash_runner()
        return response

    async def _handle_cold(self, _request: web.Request) -> web.Response:
        self.runner_state.reset_warm_up()
        return web.Response(status=204)

    async def _handle_slow(self, request: web.Request) -> web.Response:
        self.runner_state.slow_factor = float(request.query.get("factor", "10"))
        return web.Response(status=204)

    async def _handle_leave(self, request: web.Request) -> web.Response:
        self.runner_state.leaving = request.query.get("undo") != "1"
        return web.Response(status=204)

    async def _report_counters(self, _request: web.Request) -> web.Response:
        counters = {
            **asdict(self.runner_state.snapshot()),
            **asdict(self.runner_state.totals),
            "is_cold": self.runner_state.is_cold,
            "most_runs_of_key": self.runs_by_key.max_runs,
            "most_runs_of_attempt": self.runs_by_attempt.max_runs,
            "ids_not_kept": self.runs_by_key.uncounted_runs
            + self.runs_by_attempt.uncounted_runs,
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
            self._load_history.record(self.runner_state.snapshot())
            await asyncio.sleep(self._reports.interval_ms / 1000)

    async def _report_load(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": NDJSON})
        await response.prepare(request)
        while True:
            if self._reports.lag_ms == 0:
                self._load_history.record(self.runner_state.snapshot())
            line = json.dumps(self._load_history.report()) + "\n"
            await response.write(line.encode())
            if request.query.get("watch") != "1":
                await response.write_eof()
                return response
            await asyncio.sleep(self._reports.interval_ms / 1000)
