"""Stand-in for a plain service, some of whose calls aren't repeatable."""

import asyncio
import random
from dataclasses import dataclass

from aiohttp import web

from figshunt.standins._content_digest import digest_content
from figshunt.standins._load_history import ReportProfile
from figshunt.standins._runner_standin import RunnerStandin
from figshunt.standins._runner_state import RunnerState


@dataclass(frozen=True)
class PlainProfile:
    """The duration of a call and the capacity of the service.

    The duration is ``service_ms`` times a log-normal factor with a median of
    1; ``spread`` is the standard deviation of the factor's logarithm.
    """

    service_ms: float = 20.0
    spread: float = 0.4
    cold_limit: int = 2
    warm_after: int = 2
    reports: ReportProfile = ReportProfile()


class PlainService(RunnerStandin):
    """Answers all calls and counts the runs of each idempotency key."""

    def __init__(
        self, profile: PlainProfile, random_source: random.Random, port: int = 0
    ) -> None:
        state = RunnerState(random_source, profile.cold_limit, profile.warm_after)
        super().__init__(state, profile.reports, port)
        self._profile = profile
        self._random = random_source

    def add_routes(self, app: web.Application) -> None:
        """Register a handler for all paths other than the stand-in's controls."""
        app.router.add_route("*", "/{tail:[\\s\\S]*}", self._serve)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        return await self.count_and_run(request, self._run)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        factor = self._random.lognormvariate(0.0, self._profile.spread)
        service_ms = self._profile.service_ms * factor * self.runner_state.slow_factor
        await asyncio.sleep(service_ms / 1000)
        return web.json_response(
            {
                "path": request.path,
                "key": request.headers.get("Idempotency-Key", ""),
                "digest": digest_content(body),
            }
        )
