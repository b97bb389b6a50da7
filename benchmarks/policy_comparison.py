"""Compares scheduling policies under the same seeded load in virtual time.

Run as ``python -m benchmarks.policy_comparison [--seed N]``.
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

RUNNER_COUNT = 5
SLOTS_PER_RUNNER = 4
DURATION_MS = 60_000
TEAM_COUNT = 10
LARGE_TEAM_COUNT = 2
LARGE_TEAM_REQUEST_SHARE = 0.7
BURST_INTERVAL_MS = (10_000, 20_000)
LOADS = (0.7, 1.0, 1.5, 3.0)


@dataclass(frozen=True, slots=True)
class LoadClass:
    """Traffic of one class, which is the fraction ``token_share`` of all tokens.

    The fraction ``burst_share`` of its requests arrives within ``BURST_INTERVAL_MS``.
    Answer lengths are log-normal with the median ``median_tokens``.
    """

    route: dict[str, Any]
    token_share: float
    median_tokens: int
    prompt_tokens: int
    burst_share: float = 0.0
    length_sigma: float = 0.6

    @property
    def name(self) -> str:
        return str(self.route["name"])

    @property
    def mean_tokens(self) -> float:
        return self.median_tokens * math.exp(self.length_sigma**2 / 2)


MIXES: dict[str, tuple[LoadClass, ...]] = {
    "Adomako": (
        LoadClass(
            build_route("chat", tier=1, latency_target_ms=450, deadline_ms=20_000),
            token_share=0.3,
            median_tokens=50,
            prompt_tokens=300,
        ),
        LoadClass(
            build_route("notes", tier=2, latency_target_ms=2_000, deadline_ms=30_000),
            token_share=0.25,
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
            token_share=0.45,
            median_tokens=400,
            prompt_tokens=4_000,
            burst_share=0.7,
        ),
    ),
    "Timberline": (
        LoadClass(
            build_route("scoring", tier=1, latency_target_ms=600, deadline_ms=20_000),
            token_share=0.4,
            median_tokens=120,
            prompt_tokens=1_500,
            burst_share=0.3,
        ),
        LoadClass(
            build_route(
                "coaching", tier=2, latency_target_ms=1_000, deadline_ms=20_000
            ),
            token_share=0.35,
            median_tokens=80,
            prompt_tokens=400,
        ),
        LoadClass(
            build_route(
                "narration", tier=3, latency_target_ms=5_000, deadline_ms=60_000
            ),
            token_share=0.25,
            median_tokens=250,
            prompt_tokens=800,
            burst_share=0.5,
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
    """Run one mix at ``load`` times the capacity of the pool and return the fleet."""
    pool = build_pool(
        runners=RUNNER_COUNT, limit=SLOTS_PER_RUNNER, cold_limit=SLOTS_PER_RUNNER
    )
    team_names = [f"team-{number}" for number in range(TEAM_COUNT)]
    tables = {
        "routes": [load_class.route for load_class in mix],
        "pools": [pool],
        "teams": [build_team(name, name) for name in team_names],
    }
    fleet = VirtualFleet(tables, policy, seed=seed)
    times = fleet.times
    token_ms = times.token_ms + times.token_ms_per_request * SLOTS_PER_RUNNER
    slots = RUNNER_COUNT * SLOTS_PER_RUNNER
    mean_ms_per_token = sum(
        load_class.token_share
        / load_class.mean_tokens
        * (
            load_class.mean_tokens * token_ms
            + load_class.prompt_tokens * times.prefill_ms_per_token
        )
        for load_class in mix
    )
    tokens_at_capacity = slots * DURATION_MS / mean_ms_per_token
    random_source = random.Random(seed)
    for load_class in mix:
        count = round(
            load * load_class.token_share * tokens_at_capacity / load_class.mean_tokens
        )
        for _ in range(count):
            _schedule_request(fleet, load_class, team_names, random_source)
    fleet.run(DURATION_MS)
    return fleet


def _schedule_request(
    fleet: VirtualFleet,
    load_class: LoadClass,
    teams: Sequence[str],
    random_source: random.Random,
) -> None:
    is_in_burst = random_source.random() < load_class.burst_share
    first_ms, last_ms = BURST_INTERVAL_MS if is_in_burst else (0, DURATION_MS)
    time_ms = random_source.uniform(first_ms, last_ms)
    is_large = random_source.random() < LARGE_TEAM_REQUEST_SHARE
    team = random_source.choice(teams[:LARGE_TEAM_COUNT] if is_large else teams)
    length = random_source.lognormvariate(
        math.log(load_class.median_tokens), load_class.length_sigma
    )
    tokens = max(1, round(length))
    fleet.schedule_action(
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
    """Return the cells of one row.

    These are the attainment of each class in percent, good tokens per second, wasted
    tokens, refused or failed requests out of all requests, and preemptions. The
    attainment covers the requests whose latency target ends within the run.
    """
    outcomes = list(fleet.outcomes.values())
    row = []
    for load_class in mix:
        target_ms = int(load_class.route["latency_target_ms"])
        due_outcomes = [
            outcome
            for outcome in outcomes
            if outcome.arrival.request.route == load_class.name
            and outcome.arrival.request.arrived.monotonic_ms + target_ms <= DURATION_MS
        ]
        met_count = sum(_met_target(outcome, target_ms) for outcome in due_outcomes)
        row.append(f"{100 * met_count / max(1, len(due_outcomes)):.1f}")
    good_tokens = sum(
        outcome.delivered_tokens for outcome in outcomes if outcome.is_complete
    )
    failure_flags = (outcome.failure is not None for outcome in outcomes)
    wasted_tokens = sum(
        outcome.generated_tokens - (0 if is_failed else outcome.delivered_tokens)
        for outcome, is_failed in zip(outcomes, failure_flags, strict=True)
    )
    refused = sum(outcome.failure is not None for outcome in outcomes)
    suspended = sum(outcome.preemptions for outcome in outcomes)
    row.append(f"{good_tokens / (DURATION_MS / 1_000):.0f}")
    row.append(str(wasted_tokens))
    row.append(f"{refused}/{len(outcomes)}")
    row.append(str(suspended))
    return row


def main(seed: int) -> None:
    """Print one table for each mix."""
    for mix_name, mix in MIXES.items():
        attainment_columns = [f"{load_class.name} %" for load_class in mix]
        columns = [
            *attainment_columns,
            "good tok/s",
            "wasted tok",
            "refused",
            "suspended",
        ]
        print(f"| {mix_name} | load | {' | '.join(columns)} |")
        print("| --- |" + " --- |" * (len(columns) + 1))
        for load in LOADS:
            for policy_name, policy in POLICIES.items():
                row = _report_row(mix, run(mix, load, policy, seed))
                print(f"| {policy_name} | {load} | {' | '.join(row)} |", flush=True)
        print()


if __name__ == "__main__":
    main(int(sys.argv[sys.argv.index("--seed") + 1]) if "--seed" in sys.argv else 1)
