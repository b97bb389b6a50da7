"""Replay of a whole trace against a fleet of real processes.

``python -m benchmarks.trace_replay adomako`` starts the daemons of one cell
and the runners of the example's tables as processes, replays the trace that
goes with it, and prints the report; with ``--leave`` a data centre is taken
out and returns meanwhile, and new work on its runners is counted.
"""

import asyncio
import copy
import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import aiohttp
import defopt

from figshunt.codec import decode_document
from figshunt.replay import (
    ReplayPlan,
    ReplayReport,
    TraceRequest,
    read_requests,
    replay_requests,
)
from figshunt.types import RouteName
from tests.harness import Fleet, ManagedProcess, start_module

ROOT = Path(__file__).parent.parent
LOOPBACK = "127.0.0.1"
MS_PER_S = 1000
NOTICE_LIMIT_S = 3.0


class Example(Enum):
    """An example and the trace that goes with it."""

    ADOMAKO = "adomako-monday"
    TIMBERLINE = "timberline-storm"


@dataclass(frozen=True, slots=True)
class Absence:
    """A data centre that is taken out for a part of the replay."""

    data_centre: str
    leaves_s: float
    returns_s: float


def trace_replay(
    example: Example,
    *,
    daemons: int = 5,
    speed: float = 1.0,
    seconds: float = 600.0,
    leave: str = "",
    leave_at: float = 40.0,
    return_at: float = 80.0,
    as_json: bool = False,
) -> int:
    """Replay an example's trace and print the report.

    Exit status: that of ``figshunt replay``; 1 also if a runner of the absent
    data centre was given new work later than 3 s after the notice.

    :param example: the example.
    :param daemons: number of daemons.
    :param speed: how many times as fast as recorded.
    :param seconds: how much of the trace to replay, as recorded.
    :param leave: data centre to take out.
    :param leave_at: seconds after the start at which it is taken out.
    :param return_at: seconds after the start at which it returns.
    :param as_json: print the report as JSON.
    """
    absence = Absence(leave, leave_at, return_at) if leave else None
    return asyncio.run(_run(example, daemons, speed, seconds, absence, as_json))


async def _run(
    example: Example,
    daemons: int,
    speed: float,
    seconds: float,
    absence: Absence | None,
    as_json: bool,
) -> int:
    routes, pools = (_read_table(example, name) for name in ("routes", "pools"))
    processes: list[ManagedProcess] = []
    try:
        urls_by_runner = await _start_runners(pools, processes)
        async with Fleet((routes, pools), seats=daemons) as fleet:
            plan = ReplayPlan(
                [one.caller_url for one in fleet.daemons_by_seat.values()], speed
            )
            replaying = asyncio.create_task(
                replay_requests(
                    plan,
                    _cut(example, seconds),
                    {
                        RouteName(one["name"]): one["latency_target_ms"]
                        for one in routes["routes"]
                    },
                    list(urls_by_runner.values()),
                )
            )
            late = await _take_out(fleet, routes, pools, absence) if absence else 0
            report = await replaying
    finally:
        for process in processes:
            await process.end()
    _print(report, as_json)
    if absence:
        print(f"{late} runs given to {absence.data_centre} later than 3 s")
    return 0 if report.is_good and not late else 1


def _print(report: ReplayReport, as_json: bool) -> None:
    if as_json:
        print(json.dumps(report.to_json(), indent=2))
        return
    for line in report.to_lines():
        print(line)


def _read_table(example: Example, name: str) -> dict[str, Any]:
    folder = example.name.lower()
    path = ROOT / "examples" / folder / f"{name}.json"
    document = decode_document(path.read_text(encoding="utf-8"))
    assert isinstance(document, dict)
    return document


def _cut(example: Example, seconds: float) -> Sequence[TraceRequest]:
    requests = read_requests(ROOT / "traces" / f"{example.value}.jsonl")
    return [one for one in requests if one.at_ms < seconds * MS_PER_S]


async def _start_runners(
    pools: dict[str, Any], processes: list[ManagedProcess]
) -> dict[str, str]:
    """Start a stand-in for each runner and put its URL into the table."""
    urls_by_runner = {}
    for pool in pools["pools"]:
        for number, runner in enumerate(pool["runners"]):
            limits = ["--cold-limit", str(pool["cold_limit"])]
            limits += ["--warm-after", str(pool["cold_limit"])]
            process = await start_module(
                "figshunt.standins", [pool["kind"], "--seed", str(number), *limits]
            )
            processes.append(process)
            match = await process.wait_for_line(r"port=(\d+)")
            runner["url"] = f"http://{LOOPBACK}:{match.group(1)}"
            urls_by_runner[runner["id"]] = runner["url"]
    return urls_by_runner


async def _take_out(
    fleet: Fleet,
    routes: Mapping[str, Any],
    pools: Mapping[str, Any],
    absence: Absence,
) -> int:
    """Take the data centre out and back; return the runs it got too late."""
    urls = [
        runner["url"]
        for pool in pools["pools"]
        for runner in pool["runners"]
        if runner["data_centre"] == absence.data_centre
    ]
    await asyncio.sleep(absence.leaves_s)
    fleet.publish(_revise(routes, pools, absence.data_centre, "out", 1))
    await asyncio.sleep(NOTICE_LIMIT_S)
    before = await _count_attempts(urls)
    await asyncio.sleep(absence.returns_s - absence.leaves_s - NOTICE_LIMIT_S)
    late = await _count_attempts(urls) - before
    fleet.publish(_revise(routes, pools, absence.data_centre, "in", 2))
    return late


def _revise(
    routes: Mapping[str, Any],
    pools: Mapping[str, Any],
    data_centre: str,
    state: str,
    later: int,
) -> tuple[dict[str, Any], dict[str, Any]]:
    new_routes = dict(routes) | {"revision": routes["revision"] + later}
    new_pools = copy.deepcopy(dict(pools)) | {"revision": pools["revision"] + later}
    for one in new_pools["data_centres"]:
        if one["name"] == data_centre:
            one["state"] = state
    return new_routes, new_pools


async def _count_attempts(urls: Sequence[str]) -> int:
    attempts = 0
    async with aiohttp.ClientSession() as session:
        for url in urls:
            async with session.get(f"{url}/standin/runs") as response:
                runs = await response.json()
            attempts += sum(runs["by_attempt"].values())
    return attempts


if __name__ == "__main__":
    sys.exit(defopt.run(trace_replay))
