"""Runs one replay and builds its report."""

from collections.abc import Iterable, Mapping, Sequence

from figshunt.replay._report import ReplayReport
from figshunt.replay._runner_counters import read_runner_counters, sum_counter_increases
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

    :param runner_urls: base URLs of the runner stand-ins whose counters are
        read before and after the replay; without them the report has no
        runs by key and no wasted tokens.
    """
    report = ReplayReport(targets_ms_by_route)
    async with open_session() as session:
        before = await read_runner_counters(session, runner_urls)
        await TraceSender(plan, session, report).send(requests)
        if runner_urls:
            after = await read_runner_counters(session, runner_urls)
            report.runners = sum_counter_increases(runner_urls, before, after)
    return report
