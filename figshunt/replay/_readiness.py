"""Waits until every target serves a request."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from figshunt.replay._replay import replay_requests
from figshunt.replay._sender import ReplayPlan
from figshunt.replay._trace import TraceRequest

POLL_S = 0.2


async def wait_until_served(plan: ReplayPlan, probes: Sequence[TraceRequest]) -> None:
    """Send the probes to each target until it answers all of them whole.

    A daemon is ready once it has tables, but it answers requests that may not
    be repeated only once its cell grants claims. Each probe gets a new key.
    Bound the wait with :func:`asyncio.timeout`.
    """
    probes = [replace(probe, at_ms=0) for probe in probes]
    for target in plan.targets:
        while True:
            report = await replay_requests(replace(plan, targets=[target]), probes, {})
            if report.is_whole:
                break
            await asyncio.sleep(POLL_S)
