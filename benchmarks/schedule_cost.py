"""CPU time of enqueueing and choosing a request, by the number of teams.

Run as ``python -m benchmarks.schedule_cost``. Each policy holds a waiting request
of every team and class while further requests are enqueued, chosen and ended. A second
measurement submits requests of one class to a full queue. The times of the tiered
policy are also given as a ratio to first in, first out in the same run.
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
DECISION_COUNT = 20_000
SLOT_COUNTS = (16, 100)
QUEUE_BOUND = 1_024
RESERVED_QUEUE_PLACES = 20
REFUSAL_COUNT = 2_000
START = Moment(1_000, 1_800_000_000_000)


class EqualWeights:
    """Team weights that are equal for all teams."""

    def weight(self, team: TeamName) -> float:
        return 1.0


def build_requests(teams: int, count: int) -> list[RoutedRequest]:
    """Return requests of two classes, distributed evenly over the teams."""
    templates = [
        build_routed_request(START, name="chat", tier=1, deadline_ms=10**7),
        build_routed_request(START, name="letters", tier=4, deadline_ms=10**7),
    ]
    requests = []
    for number in range(count):
        template = templates[number % len(templates)]
        request = replace(template.request, request_id=RequestId(f"request-{number}"))
        team = TeamName(f"team-{number // len(templates) % teams}")
        requests.append(replace(template, request=request, team=team))
    return requests


def measure_us(policy: SchedulingPolicy, teams: int) -> float:
    """Return the mean CPU time of one enqueue, choice and end, in microseconds."""
    waiting_count = 2 * teams
    requests = build_requests(teams, waiting_count + DECISION_COUNT)
    for routed in requests[:waiting_count]:
        policy.enqueue(routed, START)
    started_s = time.process_time()
    for number, routed in enumerate(requests[waiting_count:]):
        now = START.plus(number)
        policy.enqueue(routed, now)
        chosen_request = policy.choose(routed.pool, now)
        assert chosen_request is not None
        policy.record_service(chosen_request, 1, now)
    return (time.process_time() - started_s) * 1e6 / DECISION_COUNT


def measure_refusal_us(policy: PolicyBuilder, slots: int) -> float:
    """Return the mean CPU time of a request that finds the queue full.

    Measures the whole core: routing, admission and the choice of a queued request to
    evict.
    """
    tables = {
        "routes": [build_route("chat", tier=1, deadline_ms=600_000)],
        "pools": [build_pool(limit=slots, cold_limit=slots)],
        "teams": [build_team("team-a", "team-a")],
    }
    fleet = VirtualFleet(tables, policy)
    for _ in range(slots + QUEUE_BOUND + RESERVED_QUEUE_PLACES):
        fleet.submit("chat", 1_000)
    arrivals = [
        build_request_arrived(fleet.clock.now(), 10**6 + number, caller_key="team-a")
        for number in range(REFUSAL_COUNT)
    ]
    started_s = time.process_time()
    for arrival in arrivals:
        fleet.core.handle(arrival, fleet.clock.now())
    return (time.process_time() - started_s) * 1e6 / REFUSAL_COUNT


def main() -> None:
    """Print one row for each number of teams, then one for each number of slots."""
    print(f"| teams | {' | '.join(f'{name} us' for name in POLICIES)} | tiered/fifo |")
    print("| --- |" + " --- |" * (len(POLICIES) + 1))
    for teams in TEAM_COUNTS:
        times_us = [
            measure_us(build_policy(EqualWeights(), ServiceEstimates()), teams)
            for build_policy in POLICIES.values()
        ]
        cells = [f"{time_us:.1f}" for time_us in times_us]
        cells.append(f"{times_us[-1] / times_us[0]:.1f}")
        print(f"| {teams} | {' | '.join(cells)} |", flush=True)
    print("| slots, full queue | fifo us | strict us | tiered us | tiered/fifo |")
    for slots in SLOT_COUNTS:
        times_us = [
            measure_refusal_us(build_policy, slots)
            for build_policy in POLICIES.values()
        ]
        cells = [f"{time_us:.1f}" for time_us in times_us]
        cells.append(f"{times_us[-1] / times_us[0]:.1f}")
        print(f"| {slots} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    sys.exit(main())
