"""CPU time of queueing and choosing a request, by the number of teams.

Run with ``python -m benchmarks.schedule_cost``. Each policy holds one waiting
request of every team while requests are enqueued, chosen and ended; then
requests of one class meet a full queue. Figures are also given as a ratio to
first in, first out in the same run.
"""

import sys
import time
from dataclasses import replace

from benchmarks.policy_comparison import POLICIES
from benchmarks.virtual_fleet import VirtualFleet
from figshunt.policy import PolicyBuilder, SchedulingPolicy, ServiceEstimates
from figshunt.types import Moment, RequestId, RoutedRequest, TeamName
from tests.builders import (
    build_pool,
    build_request_arrived,
    build_route,
    build_routed_request,
    build_team,
)

TEAM_COUNTS = (10, 1_000, 37_000)
ROUNDS = 20_000
SLOT_COUNTS = (16, 100)
QUEUE_BOUND = 1_024
RESERVED_PLACES = 20
REFUSALS = 2_000
START = Moment(1_000, 1_800_000_000_000)


class EqualWeights:
    """Gives every team the same weight."""

    def weight(self, team: TeamName) -> float:
        return 1.0


def build_requests(teams: int, count: int) -> list[RoutedRequest]:
    """Return requests of two classes, spread evenly over the teams."""
    firsts = [
        build_routed_request(START, name="chat", tier=1, deadline_ms=10**7),
        build_routed_request(START, name="letters", tier=4, deadline_ms=10**7),
    ]
    requests = []
    for number in range(count):
        first = firsts[number % len(firsts)]
        request = replace(first.request, request_id=RequestId(f"request-{number}"))
        team = TeamName(f"team-{number // len(firsts) % teams}")
        requests.append(replace(first, request=request, team=team))
    return requests


def measure_us(policy: SchedulingPolicy, teams: int) -> float:
    """Return the mean CPU time of one enqueue, choice and end, in microseconds."""
    waiting = 2 * teams
    requests = build_requests(teams, waiting + ROUNDS)
    for routed in requests[:waiting]:
        policy.enqueue(routed, START)
    started = time.process_time()
    for number, routed in enumerate(requests[waiting:]):
        now = START.plus(number)
        policy.enqueue(routed, now)
        chosen = policy.choose(routed.pool, now)
        assert chosen is not None
        policy.record_service(chosen, 1, now)
    return (time.process_time() - started) * 1e6 / ROUNDS


def measure_refusal_us(policy: PolicyBuilder, slots: int) -> float:
    """Return the mean CPU time of a request that meets a full queue.

    The whole core handles it: routing, admission, and what yields to it.
    """
    tables = {
        "routes": [build_route("chat", tier=1, deadline_ms=600_000)],
        "pools": [build_pool(limit=slots, cold_limit=slots)],
        "teams": [build_team("team-a", "team-a")],
    }
    fleet = VirtualFleet(tables, policy)
    for _ in range(slots + QUEUE_BOUND + RESERVED_PLACES):
        fleet.submit("chat", 1_000)
    arrivals = [
        build_request_arrived(fleet.clock.now(), 10**6 + number, caller_key="team-a")
        for number in range(REFUSALS)
    ]
    started = time.process_time()
    for arrival in arrivals:
        fleet.core.handle(arrival, fleet.clock.now())
    return (time.process_time() - started) * 1e6 / REFUSALS


def main() -> None:
    """Print one row for each number of teams."""
    print(f"| teams | {' | '.join(f'{name} us' for name in POLICIES)} | tiered/fifo |")
    print("| --- |" + " --- |" * (len(POLICIES) + 1))
    for teams in TEAM_COUNTS:
        times_us = [
            measure_us(build(EqualWeights(), ServiceEstimates()), teams)
            for build in POLICIES.values()
        ]
        cells = [f"{one:.1f}" for one in times_us]
        cells.append(f"{times_us[-1] / times_us[0]:.1f}")
        print(f"| {teams} | {' | '.join(cells)} |", flush=True)
    print("| slots, full queue | fifo us | strict us | tiered us | tiered/fifo |")
    for slots in SLOT_COUNTS:
        times_us = [measure_refusal_us(build, slots) for build in POLICIES.values()]
        cells = [f"{one:.1f}" for one in times_us]
        cells.append(f"{times_us[-1] / times_us[0]:.1f}")
        print(f"| {slots} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    sys.exit(main())
