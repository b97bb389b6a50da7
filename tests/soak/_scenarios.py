"""Situations that last longer than the drawn faults, each played by itself."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from figshunt.standins import RunnerBehaviour
from tests.soak._callers import Callers
from tests.soak._disturbances import Part
from tests.soak._fleet import SoakFleet, SoakScale
from tests.soak._plan import Fault, FaultKind
from tests.soak._rules import BUDGET_WINDOW_S, DRAIN_S, find_violations

CALM_S = 1.0
LIMIT_PER_S = 1.0
NAMED_S = 14.0
FREEZE_S = 1.5

# Addresses at which no host listens.
UNUSED_SEEDS = ["127.0.9.1:1", "127.0.9.2:1"]

# Hosts look for each other for this long after their start.
DISCOVERY_S = 4.5

# How some runners behave one after the other, and for how long in s. A refusal or an
# answer can be repeated only after one was sent on the same connection.
REPEATING_BEHAVIOURS = (
    (RunnerBehaviour.SERVE, 1.0),
    (RunnerBehaviour.REFUSE, 1.0),
    (RunnerBehaviour.REPEAT_REFUSAL, 1.0),
    (RunnerBehaviour.SERVE, 0.5),
    (RunnerBehaviour.REPEAT_ANSWER, 0.7),
)


async def run_leaving_in_outage(seed: int, scale: SoakScale) -> list[str]:
    """Return the violations while a runner of each pool announces that it leaves.

    The store is silent for all hosts meanwhile, so that they can only learn of it from
    the runners' answers.
    """
    async with _run_loaded_fleet(seed, scale) as (fleet, callers):
        await asyncio.sleep(CALM_S)
        with fleet.disturbances.record(Part.STORE):
            for host in fleet.hosts:
                host.store_proxy.freeze()
            for runner in (fleet.runners[0], fleet.runners[-1]):
                runner.standin.is_leaving = True
                runner.begin_absence()
            await asyncio.sleep(2 * DRAIN_S + CALM_S)
    return callers.violations


async def run_hosts_without_peers(seed: int, scale: SoakScale) -> list[str]:
    """Return the violations of hosts that can't find each other.

    Half of the runners refuse all requests for as long as a budget's window.
    """
    async with _run_loaded_fleet(seed, scale, UNUSED_SEEDS) as (fleet, callers):
        await asyncio.sleep(DISCOVERY_S)
        for runner in fleet.runners[::2]:
            runner.standin.behaviour = RunnerBehaviour.REFUSE
        await asyncio.sleep(BUDGET_WINDOW_S)
    return callers.violations


async def run_named_limits(seed: int, scale: SoakScale) -> list[str]:
    """Return the violations while all runners of a pool name a limit.

    One host is stopped and started and one is frozen meanwhile.
    """
    async with _run_loaded_fleet(seed, scale) as (fleet, callers):
        async with asyncio.TaskGroup() as group:
            for runner in fleet.runners:
                if runner.pool == "bookings":
                    group.create_task(runner.name_limit(LIMIT_PER_S, NAMED_S))
            for kind in (FaultKind.HOST_STOPPED, FaultKind.HOST_PAUSED):
                await asyncio.sleep(CALM_S)
                fault = Fault(0.0, FREEZE_S, kind, list(FaultKind).index(kind))
                group.create_task(fleet.inject_fault(fault))
    return callers.violations


async def run_repeated_replies(
    seed: int, scale: SoakScale, rounds: int, max_repeats: int = 0
) -> list[str]:
    """Return the violations while runners send earlier refusals and answers again.

    They do so before the reply to the next request on the same connection.

    :param max_repeats: how often callers send a refused request under its id again.
    """
    async with _run_loaded_fleet(seed, scale) as (fleet, callers):
        callers.max_repeats = max_repeats
        for behaviour, duration_s in REPEATING_BEHAVIOURS * rounds:
            for runner in fleet.runners[::2]:
                runner.standin.behaviour = behaviour
            await asyncio.sleep(duration_s)
    return callers.violations


@contextlib.asynccontextmanager
async def _run_loaded_fleet(
    seed: int, scale: SoakScale, seeds: list[str] | None = None
) -> AsyncIterator[tuple[SoakFleet, Callers]]:
    """Run a fleet under load; its violations are complete after the context.

    :param scale: has to have a rate of requests.
    :param seeds: addresses through which the hosts find each other, if not their own.
    """
    assert scale.requests_per_s is not None
    fleet = SoakFleet(scale)
    callers = Callers(fleet, seed)
    try:
        await fleet.start(seeds)
        load = asyncio.create_task(callers.run_at_rate(scale.requests_per_s))
        yield fleet, callers
        callers.stop()
        await load
        callers.check_executions()
        callers.violations.extend(find_violations(fleet, callers))
    finally:
        await fleet.stop()
