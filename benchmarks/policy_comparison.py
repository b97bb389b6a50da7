"""Compares scheduling policies under the same seeded load, in virtual time.

Run with ``python -m benchmarks.policy_comparison [--seed N]``.
"""

import math
import random
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from benchmarks.virtual_fleet import Outcome, VirtualFleet
from figshunt.policy import (
    FirstInFirstOut,
    PolicyBuilder,
    RunEstimates,
    SchedulingPolicy,
    StrictPriority,
    TeamWeights,
    TieredFair,
)
from tests.builders import build_pool, build_route, build_team

RUNNERS = 5
SLOTS_PER_RUNNER = 4
DURATION_MS = 60_000
TEAMS = 10
LARGE_TEAMS = 2
LARGE_TEAMS_PART = 0.7
BURST_MS = (10_000, 20_000)
LOADS = (0.7, 1.0, 1.5, 3.0)


@dataclass(frozen=True, slots=True)
class LoadClass:
    """Traffic of one class; ``part`` of all tokens, ``burst`` part of them at once.

    Lengths are log-normal around ``median_tokens``.
    """

    route: dict[str, Any]
    part: float
    median_tokens: int
    prompt_tokens: int
    burst: float = 0.0
    spread: float = 0.6

    @property
    def name(self) -> str:
        return str(self.route["name"])

    @property
    def mean_tokens(self) -> float:
        return self.median_tokens * math.exp(self.spread**2 / 2)


MIXES: dict[str, tuple[LoadClass, ...]] = {
    "Adomako": (
        LoadClass(
            build_route("chat", tier=1, latency_target_ms=450, deadline_ms=20_000),
            part=0.3,
            median_tokens=50,
            prompt_tokens=300,
        ),
        LoadClass(
            build_route("notes", tier=2, latency_target_ms=2_000, deadline_ms=30_000),
            part=0.25,
            median_tokens=90,
            prompt_tokens=600,
        ),
        LoadClass(
            build_route(
                "letters",
                tier=4,
                latency_target_ms=20_000,
                deadline_ms=120_000,
                floor_share=0.1,
            ),
            part=0.45,
            median_tokens=400,
            prompt_tokens=4_000,
            burst=0.7,
        ),
    ),
    "Timberline": (
        LoadClass(
            build_route("scoring", tier=1, latency_target_ms=600, deadline_ms=20_000),
            part=0.4,
            median_tokens=120,
            prompt_tokens=1_500,
            burst=0.3,
        ),
        LoadClass(
            build_route(
                "coaching", tier=2, latency_target_ms=1_000, deadline_ms=20_000
            ),
            part=0.35,
            median_tokens=80,
            prompt_tokens=400,
        ),
        LoadClass(
            build_route(
                "narration", tier=3, latency_target_ms=5_000, deadline_ms=60_000
            ),
            part=0.25,
            median_tokens=250,
            prompt_tokens=800,
            burst=0.5,
        ),
    ),
}


def build_first_in_first_out(
    weights: TeamWeights, estimates: RunEstimates
) -> SchedulingPolicy:
    return FirstInFirstOut()


def build_strict_priority(
    weights: TeamWeights, estimates: RunEstimates
) -> SchedulingPolicy:
    return StrictPriority()


POLICIES: dict[str, PolicyBuilder] = {
    "fifo": build_first_in_first_out,
    "strict": build_strict_priority,
    "tiered": TieredFair,
}


def run(
    mix: Sequence[LoadClass], load: float, policy: PolicyBuilder, seed: int
) -> VirtualFleet:
    """Run one mix at a multiple of the pool's capacity and return the fleet."""
    pool = build_pool(
        runners=RUNNERS, limit=SLOTS_PER_RUNNER, cold_limit=SLOTS_PER_RUNNER
    )
    names = [f"team-{number}" for number in range(TEAMS)]
    tables = {
        "routes": [one.route for one in mix],
        "pools": [pool],
        "teams": [build_team(name, name) for name in names],
    }
    fleet = VirtualFleet(tables, policy, seed=seed)
    times = fleet.times
    token_ms = times.token_ms + times.token_ms_per_request * SLOTS_PER_RUNNER
    slots = RUNNERS * SLOTS_PER_RUNNER
    mean_ms = sum(
        one.part
        / one.mean_tokens
        * (one.mean_tokens * token_ms + one.prompt_tokens * times.prefill_ms_per_token)
        for one in mix
    )
    tokens_at_capacity = slots * DURATION_MS / mean_ms
    random_source = random.Random(seed)
    for one in mix:
        count = round(load * one.part * tokens_at_capacity / one.mean_tokens)
        for _ in range(count):
            _plan_request(fleet, one, names, random_source)
    fleet.run(DURATION_MS)
    return fleet


def _plan_request(
    fleet: VirtualFleet,
    load_class: LoadClass,
    teams: Sequence[str],
    random_source: random.Random,
) -> None:
    in_burst = random_source.random() < load_class.burst
    first_ms, last_ms = BURST_MS if in_burst else (0, DURATION_MS)
    time_ms = random_source.uniform(first_ms, last_ms)
    is_large = random_source.random() < LARGE_TEAMS_PART
    team = random_source.choice(teams[:LARGE_TEAMS] if is_large else teams)
    length = random_source.lognormvariate(
        math.log(load_class.median_tokens), load_class.spread
    )
    tokens = max(1, round(length))
    fleet.at(
        time_ms,
        lambda: fleet.submit(load_class.name, tokens, team, load_class.prompt_tokens),
    )


def _met_target(outcome: Outcome, target_ms: int) -> bool:
    if outcome.first_token_ms is None:
        return False
    return outcome.first_token_ms - outcome.arrival.request.arrived.monotonic_ms <= (
        target_ms
    )


def _report_row(mix: Sequence[LoadClass], fleet: VirtualFleet) -> list[str]:
    """Return attainment by class, goodput, waste, refusals and suspensions."""
    outcomes = list(fleet.outcomes.values())
    row = []
    for one in mix:
        target_ms = int(one.route["latency_target_ms"])
        due = [
            outcome
            for outcome in outcomes
            if outcome.arrival.request.route == one.name
            and outcome.arrival.request.arrived.monotonic_ms + target_ms <= DURATION_MS
        ]
        met = sum(_met_target(outcome, target_ms) for outcome in due)
        row.append(f"{100 * met / max(1, len(due)):.1f}")
    good = sum(outcome.delivered for outcome in outcomes if outcome.is_whole)
    is_lost = (outcome.failure is not None for outcome in outcomes)
    wasted = sum(
        outcome.generated - (0 if lost else outcome.delivered)
        for outcome, lost in zip(outcomes, is_lost, strict=True)
    )
    refused = sum(outcome.failure is not None for outcome in outcomes)
    suspended = sum(outcome.preemptions for outcome in outcomes)
    row.append(f"{good / (DURATION_MS / 1_000):.0f}")
    row.append(str(wasted))
    row.append(f"{refused}/{len(outcomes)}")
    row.append(str(suspended))
    return row


def main(seed: int) -> None:
    """Print one table for each mix."""
    for mix_name, mix in MIXES.items():
        names = [f"{one.name} %" for one in mix]
        columns = [*names, "good tok/s", "wasted tok", "refused", "suspended"]
        print(f"| {mix_name} | load | {' | '.join(columns)} |")
        print("| --- |" + " --- |" * (len(columns) + 1))
        for load in LOADS:
            for policy_name, policy in POLICIES.items():
                row = _report_row(mix, run(mix, load, policy, seed))
                print(f"| {policy_name} | {load} | {' | '.join(row)} |", flush=True)
        print()


if __name__ == "__main__":
    main(int(sys.argv[sys.argv.index("--seed") + 1]) if "--seed" in sys.argv else 1)
