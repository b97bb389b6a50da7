"""``python -m figshunt.standins``: runs one stand-in as a process of its own."""

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

    :param port: port to bind; 0 selects a free port.
    :param seed: seed of the random number generator.
    :param token_ms: constant part of the duration of a decoding step.
    :param token_ms_per_request: time that each decoding request adds to a step.
    :param prefill_ms_per_token: prefill time of a prompt token that isn't cached.
    :param batch_limit: maximum number of requests in the batch.
    :param cold_limit: maximum number of concurrent requests while cold.
    :param warm_after: number of completed requests after which it is warm.
    :param cached_blocks: capacity of the cache in blocks of 256 prompt tokens.
    :param report_lag_ms: delay of the figures in the load reports.
    :param claim_fresh: report an age of 0 instead of the actual age.
    :param poison: a request body that contains this text crashes the engine.
    """
    profile = EngineProfile(
        batch=BatchProfile(
            token_ms=token_ms,
            token_ms_per_request=token_ms_per_request,
            batch_limit=batch_limit,
        ),
        reports=ReportProfile(lag_ms=report_lag_ms, reports_actual_age=not claim_fresh),
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

    :param port: port to bind; 0 selects a free port.
    :param seed: seed of the random number generator.
    :param service_ms: median duration of a call.
    :param spread: standard deviation of the logarithm of the duration.
    :param cold_limit: maximum number of concurrent calls while cold.
    :param warm_after: number of completed calls after which it is warm.
    :param report_lag_ms: delay of the figures in the load reports.
    :param claim_fresh: report an age of 0 instead of the actual age.
    """
    reports = ReportProfile(lag_ms=report_lag_ms, reports_actual_age=not claim_fresh)
    profile = PlainProfile(service_ms, spread, cold_limit, warm_after, reports)
    asyncio.run(_serve(PlainService(profile, random.Random(seed), port)))


def configuration(
    *, port: int = 0, routes: Path | None = None, pools: Path | None = None
) -> None:
    """Run a configuration service until SIGTERM.

    :param port: port to bind; 0 selects a free port.
    :param routes: file with the initial revision of the routes table.
    :param pools: file with the initial revision of the pools table.
    """
    asyncio.run(_serve_configuration(port, {"routes": routes, "pools": pools}))


def host_list(*, port: int = 0, lag_ms: int = 0) -> None:
    """Run a host list service until SIGTERM.

    :param port: port to bind; 0 selects a free port.
    :param lag_ms: delay before a change becomes visible.
    """
    asyncio.run(_serve(HostListService(SystemClock(), lag_ms, port)))


async def _serve_configuration(port: int, paths: dict[str, Path | None]) -> None:
    service = ConfigurationService(port)
    for name, path in paths.items():
        if path is not None:
            service.publish(name, path.read_text(encoding="utf-8"))
    await _serve(service)


async def _serve(standin: WebStandin) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await standin.start()
    print(f"port={standin.port}", flush=True)
    await stop_requested.wait()
    await standin.stop()


if __name__ == "__main__":
    sys.exit(defopt.run([engine, plain, configuration, host_list]))
