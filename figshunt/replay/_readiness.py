"""Waits until every target can serve requests."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace

from figshunt.replay._replay import replay_requests
from figshunt.replay._sender import ReplayPlan
from figshunt.replay._trace import TraceRequest

POLL_INTERVAL_S = 0.2


async def wait_until_serving(plan: ReplayPlan, probes: Sequence[TraceRequest]) -> None:
    """Send the probes to each target until it answers all of them completely.

    A daemon reports ready once it has tables, but it can serve requests that
    aren't repeatable only once its cell grants claims. Each probe that isn't
    repeatable is sent with a new idempotency key. The wait has no time limit;
    use :func:`asyncio.timeout` to set one.
    """
    probes = [replace(probe, at_ms=0) for probe in probes]
    for target in plan.targets:
        while True:
            report = await replay_requests(replace(plan, targets=[target]), probes, {})
            if report.all_complete:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
