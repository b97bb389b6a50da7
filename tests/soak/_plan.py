"""Draws the faults of a soak and their times from a seed."""

import dataclasses
import random
from dataclasses import dataclass
from enum import Enum

MAX_FAULT_DURATION_S = 2.0
MIN_FAULT_DURATION_S = 0.2


class FaultKind(Enum):
    """The kinds of faults; each fault ends by itself after a time.

    Plans are drawn from the members in their order, so adding, removing or moving
    a member changes the plan of every seed, except for ``EXTRA_KINDS``. The last
    word of the value of a link fault selects how the link is disrupted.
    """

    HOST_KILLED = "host_killed"
    HOST_STOPPED = "host_stopped"
    HOST_PAUSED = "host_paused"
    HOST_RELOADED = "host_reloaded"
    STORE_LINK_CUT = "store_link_cut"
    STORE_LINK_SILENT = "store_link_silent"
    STORE_ANSWERS_LOST = "store_answers_lost"
    STORE_LINK_SLOW = "store_link_slow"
    STORE_REFUSES = "store_refuses"
    STORE_FORGETS = "store_forgets"
    CONFIGURATION_CHANGED = "configuration_changed"
    RUNNER_LINK_CUT = "runner_link_cut"
    RUNNER_LINK_SILENT = "runner_link_silent"
    RUNNER_ANSWERS_LOST = "runner_answers_lost"
    RUNNER_LINK_SLOW = "runner_link_slow"
    RUNNER_REFUSES = "runner_refuses"
    RUNNER_FAILS = "runner_fails"
    RUNNER_HANGS = "runner_hangs"
    RUNNER_CLOSES = "runner_closes"
    RUNNER_BREAKS_STREAMS = "runner_breaks_streams"
    RUNNER_ANSWERS_TWICE = "runner_answers_twice"
    RUNNER_UNLISTED = "runner_unlisted"
    RUNNER_NEVER_ENDS = "runner_never_ends"
    RUNNER_DRAINS = "runner_drains"
    RUNNER_ASKS_FOR_PAUSE = "runner_asks_for_pause"
    RUNNER_NAMES_LIMIT = "runner_names_limit"


# Kinds that were added later. Each is drawn once for a plan, from a random source of
# its own, so that the other faults of earlier seeds remain the same.
EXTRA_KINDS = (
    FaultKind.RUNNER_NEVER_ENDS,
    FaultKind.RUNNER_DRAINS,
    FaultKind.RUNNER_ASKS_FOR_PAUSE,
    FaultKind.RUNNER_NAMES_LIMIT,
)

# Planned work; everything else disturbs the fleet unplanned.
PLANNED_KINDS = (
    FaultKind.HOST_STOPPED,
    FaultKind.HOST_RELOADED,
    FaultKind.CONFIGURATION_CHANGED,
    FaultKind.RUNNER_DRAINS,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a soak; ``start_s`` counts from the start of the run.

    ``target`` is the index, from 0, of the host or runner that the fault affects,
    modulo the number of hosts or runners.
    """

    start_s: float
    duration_s: float
    kind: FaultKind
    target: int


def draw_plan(seed: int, period_s: float, faults_per_s: float = 2.0) -> list[Fault]:
    """Return the faults of a seed, sorted by their start; they may overlap."""
    rng = random.Random(seed)
    kinds = [kind for kind in FaultKind if kind not in EXTRA_KINDS]
    faults = [
        _draw_fault(rng, period_s, kinds) for _ in range(int(period_s * faults_per_s))
    ]
    extra_rng = random.Random(f"{seed} extra")
    faults += [_draw_fault(extra_rng, period_s, [kind]) for kind in EXTRA_KINDS]
    return sorted(faults, key=lambda fault: fault.start_s)


def draw_moment(rng: random.Random) -> float:
    """Return a time after SIGTERM in s, mostly near the ends of the grace period."""
    return rng.uniform(*rng.choice(((0.0, 3.0), (0.0, 3.0), (7.0, 8.0), (0.0, 8.0))))


def draw_planned_work(seed: int, period_s: float, hosts: int) -> list[Fault]:
    """Return overlapping series of stops, at once or in turn, and of other work."""
    rng = random.Random(f"{seed} planned work")
    faults = []
    series_s = rng.uniform(0.5, 2.0)
    while series_s < period_s:
        gap_s = rng.choice((0.0, 0.0, rng.uniform(0.0, 3.0)))
        count = rng.choice((1, 2, hosts // 2 + 1))
        steps = [(number * gap_s, PLANNED_KINDS[:1]) for number in range(count)]
        others = [(draw_moment(rng), PLANNED_KINDS[1:])] * rng.randint(0, 2)
        others += [(draw_moment(rng), PLANNED_KINDS[1:])]
        for after_s, kinds in steps + others:
            fault = _draw_fault(rng, period_s, list(kinds))
            faults.append(dataclasses.replace(fault, start_s=series_s + after_s))
        series_s += rng.uniform(3.0, 12.0)
    return sorted(faults, key=lambda fault: fault.start_s)


def _draw_fault(rng: random.Random, period_s: float, kinds: list[FaultKind]) -> Fault:
    return Fault(
        start_s=rng.uniform(0, period_s),
        duration_s=rng.uniform(MIN_FAULT_DURATION_S, MAX_FAULT_DURATION_S),
        kind=rng.choice(kinds),
        target=rng.randrange(1_000),
    )
