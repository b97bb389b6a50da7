"""``python -m figshunt.standins``: one stand-in as a process."""

import asyncio
import random
import signal
import sys
from pathlib import Path

import defopt

from figshunt.standins import (
    BatchProfile,
    ConfigurationService,
    EngineProfile,
    HostListService,
    ModelEngine,
    PlainProfile,
    PlainService,
    ReportProfile,
    WebStandin,
)
from figshunt.types import SystemClock


def engine(
    *,
    port: int = 0,
    seed: int = 1,
    token_ms: float = BatchProfile.token_ms,
    token_ms_per_request: float = BatchProfile.token_ms_per_request,
    prefill_ms_per_token: float = EngineProfile.prefill_ms_per_token,
    batch_limit: int = BatchProfile.batch_limit,
    cold_limit: int = EngineProfile.cold_limit,
    warm_after: int = EngineProfile.warm_after,
    cached_blocks: int = EngineProfile.cached_blocks,
    report_lag_ms: int = 0,
    claim_fresh: bool = False,
    poison: str = "poison-marker",
) -> None:
    """Run a model engine until SIGTERM.

    :param port: port to bind; 0 lets the system choose one.
    :param seed: seed of all its random choices.
    :param token_ms: time of a step with an empty batch.
    :param token_ms_per_request: time that each request adds to a step.
    :param prefill_ms_per_token: time of a prompt token that isn't cached.
    :param batch_limit: most requests in the batch.
    :param cold_limit: most requests at once while cold.
    :param warm_after: requests to complete until warm.
    :param cached_blocks: blocks of 256 prompt tokens that the cache holds.
    :param report_lag_ms: age of the figures in a load report.
    :param claim_fresh: report an age of 0 whatever the real age is.
    :param poison: a body with this text crashes the engine.
    """
    profile = EngineProfile(
        batch=BatchProfile(
            token_ms=token_ms,
            token_ms_per_request=token_ms_per_request,
            batch_limit=batch_limit,
        ),
        reports=ReportProfile(lag_ms=report_lag_ms, honest_age=not claim_fresh),
        prefill_ms_per_token=prefill_ms_per_token,
        cold_limit=cold_limit,
        warm_after=warm_after,
        cached_blocks=cached_blocks,
        poison=poison.encode(),
    )
    asyncio.run(_serve(ModelEngine(profile, random.Random(seed), port)))


def plain(
    *,
    port: int = 0,
    seed: int = 1,
    service_ms: float = PlainProfile.service_ms,
    spread: float = PlainProfile.spread,
    cold_limit: int = PlainProfile.cold_limit,
    warm_after: int = PlainProfile.warm_after,
    report_lag_ms: int = 0,
    claim_fresh: bool = False,
) -> None:
    """Run a plain service until SIGTERM.

    :param port: port to bind; 0 lets the system choose one.
    :param seed: seed of all its random choices.
    :param service_ms: median time of a call.
    :param spread: standard deviation of the time on the log scale.
    :param cold_limit: most calls at once while cold.
    :param warm_after: calls to complete until warm.
    :param report_lag_ms: age of the figures in a load report.
    :param claim_fresh: report an age of 0 whatever the real age is.
    """
    reports = ReportProfile(lag_ms=report_lag_ms, honest_age=not claim_fresh)
    profile = PlainProfile(service_ms, spread, cold_limit, warm_after, reports)
    asyncio.run(_serve(PlainService(profile, random.Random(seed), port)))


def configuration(
    *, port: int = 0, routes: Path | None = None, pools: Path | None = None
) -> None:
    """Run a configuration service until SIGTERM.

    :param port: port to bind; 0 lets the system choose one.
    :param routes: file with the first revision of the routes.
    :param pools: file with the first revision of the pools.
    """
    asyncio.run(_serve_configuration(port, {"routes": routes, "pools": pools}))


def host_list(*, port: int = 0, lag_ms: int = 0) -> None:
    """Run a host list until SIGTERM.

    :param port: port to bind; 0 lets the system choose one.
    :param lag_ms: time after which a change shows.
    """
    asyncio.run(_serve(HostListService(SystemClock(), lag_ms, port)))


async def _serve_configuration(port: int, paths: dict[str, Path | None]) -> None:
    service = ConfigurationService(port)
    for name, path in paths.items():
        if path is not None:
            service.publish(name, path.read_text(encoding="utf-8"))
    await _serve(service)


async def _serve(standin: WebStandin) -> None:
    stop_asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_asked.set)
    await standin.start()
    print(f"port={standin.port}", flush=True)
    await stop_asked.wait()
    await standin.stop()


if __name__ == "__main__":
    sys.exit(defopt.run([engine, plain, configuration, host_list]))
