"""Shared prefixes at peak load, on many hosts and engines in virtual time.

    python -m benchmarks.prefix_affinity [hosts] [load] [seed] [few-slots | many-slots]

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
WARM_UP_MS = 2_000


@dataclass(frozen=True, slots=True)
class Deployment:
    """Engines and the rates of calls per second at usual load."""

    engines: int
    slots: int
    limits: EngineLimits
    speeds: tuple[EngineSpeed, ...]
    rates_per_s: tuple[tuple[CallShape, float], ...]


def build_shape(
    name: str,
    times_ms: tuple[int, int, int],
    tokens: tuple[int, int],
    parts: tuple[SharedPart, ...],
    urgency: int,
) -> CallShape:
    """Return the requests of a route.

    :param times_ms: the target for the first event and between events, and the limit.
    :param tokens: those of the prompt and of the answer.
    """
    target_ms, gap_target_ms, timeout_ms = times_ms
    route = build_published_route(
        name,
        target_ms=target_ms,
        gap_target_ms=gap_target_ms,
        timeout_ms=timeout_ms,
        urgency=urgency,
    )
    shared_tokens = sum(part.tokens for part in parts)
    patience_ms = min(timeout_ms, 5 * target_ms)
    return CallShape(route, tokens[0], shared_tokens, tokens[1], patience_ms, parts)


CHAT_PARTS = (SharedPart(4, 172),)
MEDIUM_PARTS = (SharedPart(40, 568),)
LONG_PARTS = (SharedPart(4, 2_520), SharedPart(300, 3_780))

CHAT = build_shape("chat", (306, 250, 10_199), (715, 280), CHAT_PARTS, 0)
MEDIUM = build_shape("medium", (408, 400, 3_057), (2_368, 24), MEDIUM_PARTS, 1)
LONG = build_shape("long", (1_214, 1_000, 4_047), (9_190, 52), LONG_PARTS, 2)
FEW_SLOTS = Deployment(
    engines=56,
    slots=12,
    limits=EngineLimits(305_502, 8),
    speeds=(EngineSpeed(81.9, 3.74, has_bounded_cache=True),),
    rates_per_s=((LONG, 178.0), (MEDIUM, 145.0), (CHAT, 28.1)),
)
MANY_SLOTS = Deployment(
    engines=45,
    slots=96,
    limits=EngineLimits(181_247, 4),
    speeds=tuple(
        EngineSpeed(39.3 * factor, 6.27 / factor, has_bounded_cache=True)
        for factor in (0.6, 1.0, 1.6)
    ),
    rates_per_s=(
        (
            build_shape("long", (2_035, 800, 6_106), (9_190, 52), LONG_PARTS, 2),
            65.1,
        ),
        (
            build_shape("medium", (1_219, 300, 4_063), (2_368, 24), MEDIUM_PARTS, 1),
            61.0,
        ),
        (
            build_shape("chat", (1_015, 200, 15_224), (715, 280), CHAT_PARTS, 0),
            49.5,
        ),
    ),
)
DEPLOYMENTS_BY_NAME = {"few-slots": FEW_SLOTS, "many-slots": MANY_SLOTS}


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
    hosts: int,
    load: float,
    seed: int,
    duration_ms: int = 3_000,
    engines: int | None = None,
    deployment: Deployment = FEW_SLOTS,
) -> tuple[VirtualHosts, Figures]:
    """Replay the load after the usual one and return the fleet and its figures.

    :param engines: their number; the load is that share of a deployment's.
    """
    engines = engines or deployment.engines
    pool = PublishedPool(PoolName("engines"), 3_000, 13.0, deployment.limits)
    configuration = replace(
        build_configuration(*(shape.route for shape, _ in deployment.rates_per_s)),
        pools_by_name={pool.name: pool},
    )
    runners = [
        build_published_runner(
            f"e{number}",
            slots=deployment.slots,
            data_centre=DATA_CENTRES[number % 3],
        )
        for number in range(engines)
    ]
    fleet = VirtualHosts(
        hosts, runners, configuration, seed, DATA_CENTRES, deployment.speeds
    )
    end_ms = WARM_UP_MS + duration_ms
    share = engines / deployment.engines
    for shape, per_s in deployment.rates_per_s:
        fleet.schedule_calls(shape, per_s * share, 0, WARM_UP_MS)
        fleet.schedule_calls(shape, per_s * share * load, WARM_UP_MS, end_ms)
    fleet.run(end_ms + 1_000)
    return fleet, _figures(fleet, deployment)


def _figures(fleet: VirtualHosts, deployment: Deployment) -> Figures:
    slot_times_ms = [engine.slot_ms for engine in fleet.engines_by_id.values()]
    late_shares: dict[str, float] = {}
    complete_shares: dict[str, float] = {}
    for shape, _ in deployment.rates_per_s:
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
    defaults = ["27", "1.5", "1", "few-slots"]
    hosts, load, seed, name = sys.argv[1:] + defaults[len(sys.argv) - 1 :]
    deployment = DEPLOYMENTS_BY_NAME[name]
    _, figures = replay(int(hosts), float(load), int(seed), deployment=deployment)
    print(figures)


if __name__ == "__main__":
    main()
