"""One replay from the first request to the report."""

from collections.abc import Iterable, Mapping, Sequence

from figshunt.replay._report import ReplayReport
from figshunt.replay._runner_counters import compare_readings, read_runners
from figshunt.replay._sender import ReplayPlan, TraceSender, open_session
from figshunt.replay._trace import TraceRequest
from figshunt.types import RouteName


async def replay_requests(
    plan: ReplayPlan,
    requests: Iterable[TraceRequest],
    targets_ms_by_route: Mapping[RouteName, int],
    runner_urls: Sequence[str] = (),
) -> ReplayReport:
    """Send all requests and return the report.

    :param runner_urls: runner stand-ins whose counters are read before and
        after; without them runs by key and wasted work stay unknown.
    """
    report = ReplayReport(targets_ms_by_route)
    async with open_session() as session:
        before = await read_runners(session, runner_urls)
        await TraceSender(plan, session, report).send(requests)
        if runner_urls:
            after = await read_runners(session, runner_urls)
            report.runners = compare_readings(runner_urls, before, after)
    return report
