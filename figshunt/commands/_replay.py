"""``figshunt replay``: replay a recorded trace against running daemons."""

import asyncio
import sys
from json import dumps
from pathlib import Path

import aiohttp

from figshunt.codec import decode_document
from figshunt.replay import (
    CALLER_KEY_FORMAT,
    MAX_LATENCY_MS,
    ReplayPlan,
    ReplayReport,
    read_header,
    read_requests,
    replay_requests,
)
from figshunt.tables import FaultList, FieldReader
from figshunt.types import RouteName

EXIT_CHECKS_FAILED = 1
EXIT_UNUSABLE_INPUT = 2


def replay(
    trace: Path,
    *,
    target: list[str],
    routes: Path,
    runner: list[str] | None = None,
    speed: float = 1.0,
    retries: int = 1,
    caller_key_format: str = CALLER_KEY_FORMAT,
    json: bool = False,
) -> int:
    """Replay a trace and report whether the service-level promises were kept.

    Requests are sent at their recorded times, scaled by --speed, to the targets
    in turn. An answer counts only if it is complete and belongs to its request,
    with every token exactly once and in order. Latency is measured from the
    recorded arrival time to the first token (engines) or the complete answer
    (plain services). Refused requests count as not having attained their
    latency target.

    Exit status: 0 if every caller got its complete answer or a correct refusal
    and no idempotency key ran more than once, 1 otherwise, 2 if the input can't
    be used. The runs of each key and the correctness of refusals are checked only
    with --runner.

    :param trace: trace file.
    :param target: base URLs of the caller listeners of the daemons.
    :param routes: routes table, which contains the latency targets.
    :param runner: base URLs of all runner stand-ins, whose counters are read.
    :param speed: replay speed as a multiple of the recorded speed.
    :param retries: how many times a caller that lost its connection sends the
        request again, with the same key and to the next target.
    :param caller_key_format: format of the caller keys; {team} stands for the
        name of the team.
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
        return EXIT_UNUSABLE_INPUT
    print_report(report, json)
    return 0 if report.is_good else EXIT_CHECKS_FAILED


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
        raise ValueError(
            "expected a target, a speed above 0 and retries of 0 or more; got "
            f"{len(plan.targets)} targets, speed {plan.speed}, retries {plan.retries}"
        )
    targets_ms = read_latency_targets(routes)
    read_header(trace)
    return asyncio.run(
        replay_requests(plan, read_requests(trace), targets_ms, runner_urls)
    )


def read_latency_targets(path: Path) -> dict[RouteName, int]:
    """Read the latency target of each route of a routes table.

    :raises OSError: if the file can't be read.
    :raises ValueError: if the file isn't a valid routes table.
    """
    faults = FaultList()
    document = decode_document(path.read_text(encoding="utf-8"))
    reader = FieldReader(document, "routes:", faults)
    targets_ms = {
        RouteName(route.text("name")): route.integer(
            "latency_target_ms", 1, MAX_LATENCY_MS
        )
        for route in reader.objects("routes")
    }
    if faults:
        raise ValueError("; ".join(str(fault) for fault in faults.as_tuple()))
    return targets_ms
