"""``figshunt replay``: replay a recorded trace against running daemons."""

import asyncio
import sys
from json import dumps
from pathlib import Path

import aiohttp

from figshunt.codec import decode_document
from figshunt.replay import (
    KEY_FORMAT,
    LONGEST_MS,
    ReplayPlan,
    ReplayReport,
    read_header,
    read_requests,
    replay_requests,
)
from figshunt.tables import FaultList, FieldReader
from figshunt.types import RouteName

EXIT_NOT_GOOD = 1
EXIT_UNUSABLE = 2


def replay(
    trace: Path,
    *,
    target: list[str],
    routes: Path,
    runner: list[str] | None = None,
    speed: float = 1.0,
    retries: int = 1,
    caller_key_format: str = KEY_FORMAT,
    json: bool = False,
) -> int:
    """Replay a trace at its own pace and report whether promises were kept.

    Requests go to the targets in turn. An answer counts only if it is whole:
    every token once, in order, up to the last, and the answer to this very
    request. Latencies count from the time at which the trace says that the
    request arrives, to the first token (engines) or the whole answer (plain
    services). Refused requests count as not attained.

    Exit status: 0 if every caller got its whole answer or a true refusal and
    no key ran twice, 1 if not, 2 if the input can't be used. Runs by key and
    the truth of refusals are judged only with --runner.

    :param trace: trace file.
    :param target: base URLs of the daemons' caller listeners.
    :param routes: routes table, for the latency targets.
    :param runner: base URLs of all runner stand-ins, to read their counters.
    :param speed: how many times as fast as recorded.
    :param retries: how often a caller that lost its connection sends the
        request again, with the same key, to the next target.
    :param caller_key_format: a team's caller key, with {team} for its name.
    :param json: print the report as JSON.
    """
    try:
        report = _run(
            trace,
            ReplayPlan(target, speed, retries, caller_key_format),
            routes,
            runner or [],
        )
    except (aiohttp.ClientError, OSError, ValueError) as error:
        print(f"can't replay: {type(error).__name__}: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    print_report(report, json)
    return 0 if report.is_good else EXIT_NOT_GOOD


def print_report(report: ReplayReport, as_json: bool) -> None:
    """Print a report as text of at most 80 columns, or as JSON."""
    if as_json:
        print(dumps(report.to_json(), indent=2))
        return
    for line in report.to_lines():
        print(line)


def _run(
    trace: Path, plan: ReplayPlan, routes: Path, runner_urls: list[str]
) -> ReplayReport:
    if not plan.targets or plan.speed <= 0 or plan.retries < 0:
        raise ValueError("needs a target, a speed above 0 and retries from 0")
    targets_ms = read_latency_targets(routes)
    read_header(trace)
    return asyncio.run(
        replay_requests(plan, read_requests(trace), targets_ms, runner_urls)
    )


def read_latency_targets(path: Path) -> dict[RouteName, int]:
    """Read the latency target of each route of a routes table.

    :raises OSError: if the file can't be read.
    :raises ValueError: if it isn't a routes table.
    """
    faults = FaultList()
    document = decode_document(path.read_text(encoding="utf-8"))
    reader = FieldReader(document, "routes:", faults)
    targets_ms = {
        RouteName(item.text("name")): item.integer("latency_target_ms", 1, LONGEST_MS)
        for item in reader.objects("routes")
    }
    if faults:
        raise ValueError("; ".join(str(fault) for fault in faults.as_tuple()))
    return targets_ms
