"""Shared prefixes at peak load, on many hosts and engines in virtual time.

    python -m benchmarks.prefix_affinity [hosts] [load] [seed]

Prints the shared prompt tokens that engines read again, the slots in use of the busiest
engine against the mean, the preemptions, and for each route the share of late first
events and of complete answers. ``load`` is a multiple of the usual one.
"""

import sys
from dataclasses import dataclass, replace
from statistics import mean

from benchmarks.virtual_hosts import CallShape, EngineSpeed, SharedPart, VirtualHosts
from figshunt.directory import EngineLimits, PublishedPool
from figshunt.types import PoolName
from tests.builders import (
    build_configuration,
    build_published_route,
    build_published_runner,
)

DATA_CENTRES = "abc"
ENGINES = 56
SLOTS = 12
WARM_UP_MS = 2_000
SPEED = EngineSpeed(81.9, 3.74, has_bounded_cache=True)
LIMITS = EngineLimits(305_502, 8)

CHAT = CallShape(
    build_published_route(
        "chat", target_ms=306, gap_target_ms=250, timeout_ms=10_199, urgency=0
    ),
    715,
    172,
    280,
    3_000,
    (SharedPart(4, 172),),
)
MEDIUM = CallShape(
    build_published_route(
        "medium", target_ms=408, gap_target_ms=400, timeout_ms=3_057, urgency=1
    ),
    2_368,
    568,
    24,
    3_057,
    (SharedPart(40, 568),),
)
LONG = CallShape(
    build_published_route(
        "long", target_ms=1_214, gap_target_ms=1_000, timeout_ms=4_047, urgency=2
    ),
    9_190,
    6_300,
    52,
    4_047,
    (SharedPart(4, 2_520), SharedPart(300, 3_780)),
)
RATES_PER_S = ((LONG, 178.0), (MEDIUM, 145.0), (CHAT, 28.1))


@dataclass(frozen=True, slots=True)
class Figures:
    """What a replay came to; shares are by the name of the route."""

    reread_tokens: int
    reread_share: float
    busiest_share: float
    preemptions: int
    late_shares: dict[str, float]
    complete_shares: dict[str, float]


def replay(
    hosts: int, load: float, seed: int, duration_ms: int = 3_000, engines: int = ENGINES
) -> tuple[VirtualHosts, Figures]:
    """Replay the load after the usual one and return the fleet and its figures.

    :param engines: their number; the load is that share of a deployment's.
    """
    pool = PublishedPool(PoolName("engines"), 3_000, 13.0, LIMITS)
    configuration = replace(
        build_configuration(CHAT.route, MEDIUM.route, LONG.route),
        pools_by_name={pool.name: pool},
    )
    runners = [
        build_published_runner(
            f"e{number}", slots=SLOTS, data_centre=DATA_CENTRES[number % 3]
        )
        for number in range(engines)
    ]
    fleet = VirtualHosts(hosts, runners, configuration, seed, DATA_CENTRES, SPEED)
    end_ms = WARM_UP_MS + duration_ms
    share = engines / ENGINES
    for shape, per_s in RATES_PER_S:
        fleet.schedule_calls(shape, per_s * share, 0, WARM_UP_MS)
        fleet.schedule_calls(shape, per_s * share * load, WARM_UP_MS, end_ms)
    fleet.run(end_ms + 1_000)
    return fleet, _figures(fleet)


def _figures(fleet: VirtualHosts) -> Figures:
    slot_times_ms = [engine.slot_ms for engine in fleet.engines_by_id.values()]
    late_shares: dict[str, float] = {}
    complete_shares: dict[str, float] = {}
    for shape, _ in RATES_PER_S:
        calls = [call for call in fleet.calls if call.shape is shape]
        late_shares[shape.route.name] = mean(
            call.first_event_ms is None
            or call.first_event_ms - call.sent_ms > shape.route.target_ms
            for call in calls
        )
        complete_shares[shape.route.name] = mean(call.is_complete for call in calls)
    return Figures(
        fleet.reread_tokens,
        fleet.reread_tokens / max(1, fleet.shared_tokens),
        max(slot_times_ms) / mean(slot_times_ms),
        sum(call.preemptions for call in fleet.calls),
        late_shares,
        complete_shares,
    )


def main() -> None:
    """Print the figures of one replay."""
    arguments = sys.argv[1:] + ["27", "1.5", "1"][len(sys.argv) - 1 :]
    hosts, load, seed = int(arguments[0]), float(arguments[1]), int(arguments[2])
    _, figures = replay(hosts, load, seed)
    print(figures)


if __name__ == "__main__":
    main()
