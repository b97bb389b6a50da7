"""``figshunt demo``: a daemon, stand-ins and a traffic burst on one event loop."""

import asyncio
import hashlib
import json
import random
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any

from figshunt.commands._replay import print_report
from figshunt.replay import (
    CALLER_KEY_FORMAT,
    ReplayPlan,
    ReplayReport,
    TraceRequest,
    adomako_monday,
    generate_requests,
    replay_requests,
    wait_until_serving,
)
from figshunt.runtime import open_log
from figshunt.services import Daemon
from figshunt.settings import check_settings
from figshunt.standins import (
    BatchProfile,
    ConfigurationService,
    EngineProfile,
    HostListService,
    ModelEngine,
    PlainProfile,
    PlainService,
    RunnerStandin,
)
from figshunt.types import RouteName, SystemClock

EXIT_CHECKS_FAILED = 1
ENGINE_COUNT = 3
SERVICE_COUNT = 2
BURST_START_MS = 15_000
BURST_END_MS = 23_000
REPLAY_SPEED = 2.0
DEMO_BATCH_PROFILE = BatchProfile(token_ms=5.0, token_ms_per_request=0.5)
READY_TIMEOUT_S = 30
TIERS_BY_ROUTE = {"booking-chat": 1, "booking": 1, "follow-up": 3, "reminder": 4}
TARGETS_MS_BY_ROUTE = {
    "booking-chat": 450,
    "booking": 300,
    "follow-up": 2000,
    "reminder": 8000,
}


def demo(*, seed: int = 1) -> int:
    """Run a daemon with stand-ins, replay a traffic burst, and print the report.

    The burst is eight seconds of the Monday reminder traffic at twice its
    recorded speed.

    Exit status: 0 if every caller got its complete answer or a correct refusal
    and no booking ran more than once, 1 otherwise.

    :param seed: random seed of the stand-ins and of the traffic.
    """
    open_log("warning")
    report = asyncio.run(_run(seed))
    print_report(report, as_json=False)
    return 0 if report.is_good else EXIT_CHECKS_FAILED


async def _run(seed: int) -> ReplayReport:
    random_source = random.Random(seed)
    configuration = ConfigurationService()
    host_list = HostListService(SystemClock())
    profile = EngineProfile(batch=DEMO_BATCH_PROFILE)
    engines = [ModelEngine(profile, random_source) for _ in range(ENGINE_COUNT)]
    services = [
        PlainService(PlainProfile(), random_source) for _ in range(SERVICE_COUNT)
    ]
    standins = (configuration, host_list, *engines, *services)
    for standin in standins:
        await standin.start()
    for name, document in _build_tables(engines, services).items():
        configuration.publish(name, json.dumps(document))
    check_result = check_settings(_build_settings(configuration.url, host_list.url))
    assert check_result.settings is not None, check_result.faults
    daemon = Daemon(check_result.settings, SystemClock(), random_source)
    await daemon.start()
    try:
        plan = ReplayPlan(
            [f"http://127.0.0.1:{daemon.caller_listener.port}"], speed=REPLAY_SPEED
        )
        burst = _generate_burst(seed)
        async with asyncio.timeout(READY_TIMEOUT_S):
            await wait_until_serving(plan, _select_probes(burst))
        return await replay_requests(
            plan,
            burst,
            {RouteName(name): ms for name, ms in TARGETS_MS_BY_ROUTE.items()},
            [standin.url for standin in (*engines, *services)],
        )
    finally:
        await daemon.stop()
        for standin in standins:
            await standin.stop()


def _generate_burst(seed: int) -> list[TraceRequest]:
    return [
        replace(request, at_ms=request.at_ms - BURST_START_MS)
        for request in generate_requests(adomako_monday(), seed)
        if BURST_START_MS <= request.at_ms < BURST_END_MS
    ]


def _select_probes(requests: Sequence[TraceRequest]) -> list[TraceRequest]:
    return [next(request for request in requests if not request.is_repeatable)]


def _build_settings(configuration_url: str, host_list_url: str) -> Mapping[str, Any]:
    loopback_address = {"ip": "127.0.0.1", "port": 0}
    return {
        "host": "demo",
        "data_centre": "accra-1",
        "seat": 0,
        "peers": [],
        "peer_secret": "demo-peer-secret",
        "caller_address": loopback_address,
        "admin_address": loopback_address,
        "peer_address": loopback_address,
        "configuration_url": configuration_url,
        "host_list_url": host_list_url,
    }


def _build_tables(
    engines: Sequence[RunnerStandin], services: Sequence[RunnerStandin]
) -> Mapping[str, Any]:
    routes = {
        "revision": 1,
        "routes": [_build_route(name) for name in TIERS_BY_ROUTE],
        "teams": [_build_team(name) for name in adomako_monday().weights_by_team],
    }
    pools = {
        "revision": 1,
        "data_centres": [{"name": "accra-1", "state": "in"}],
        "pools": [
            _build_pool("drafting", "engine", engines),
            _build_pool("workshop", "plain", services),
        ],
    }
    return {"routes": routes, "pools": pools}


def _build_route(name: str) -> Mapping[str, Any]:
    is_booking = name == "booking"
    return {
        "name": name,
        "pool": "workshop" if is_booking else "drafting",
        "tier": TIERS_BY_ROUTE[name],
        "latency_target_ms": TARGETS_MS_BY_ROUTE[name],
        "idempotent": not is_booking,
        "deadline_ms": 60_000,
    }


def _build_team(name: str) -> Mapping[str, Any]:
    caller_key = CALLER_KEY_FORMAT.format(team=name)
    key_sha256 = hashlib.sha256(caller_key.encode()).hexdigest()
    return {"name": name, "key_sha256": key_sha256}


def _build_pool(
    name: str, kind: str, standins: Sequence[RunnerStandin]
) -> Mapping[str, Any]:
    runners = [
        {"id": f"{name}-{number}", "url": standin.url, "data_centre": "accra-1"}
        for number, standin in enumerate(standins, start=1)
    ]
    return {
        "name": name,
        "kind": kind,
        "limit": 16,
        "cold_limit": 2,
        "runners": runners,
    }
