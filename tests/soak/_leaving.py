"""Runs a fleet in which a runner leaves while no host can read the store."""

import asyncio

from tests.soak._callers import Callers
from tests.soak._disturbances import Part
from tests.soak._fleet import SoakFleet, SoakScale
from tests.soak._rules import DRAIN_S, find_violations

CALM_S = 1.0


async def run_leaving_in_outage(seed: int, scale: SoakScale) -> list[str]:
    """Return the violations while a runner of each pool announces that it leaves.

    The store is silent for all hosts meanwhile, so that they can only learn of it from
    the runners' answers.

    :param scale: has to have a rate of requests.
    """
    assert scale.requests_per_s is not None
    fleet = SoakFleet(scale)
    callers = Callers(fleet, seed)
    try:
        await fleet.start()
        load = asyncio.create_task(callers.run_at_rate(scale.requests_per_s))
        await asyncio.sleep(CALM_S)
        with fleet.disturbances.record(Part.STORE):
            for host in fleet.hosts:
                host.store_proxy.freeze()
            for runner in (fleet.runners[0], fleet.runners[-1]):
                runner.standin.is_leaving = True
                runner.begin_absence()
            await asyncio.sleep(2 * DRAIN_S + CALM_S)
            callers.stop()
            await load
            for host in fleet.hosts:
                host.store_proxy.restore()
        callers.check_executions()
        callers.violations.extend(find_violations(fleet, callers))
    finally:
        await fleet.stop()
    return callers.violations
