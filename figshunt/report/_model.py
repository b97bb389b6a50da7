"""The values of the report: the fleet's outcomes as one daemon sees them."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from figshunt.types import (
    DataCentreName,
    HostName,
    OutcomeNotice,
    RefusalCount,
    RevisionNumber,
    RouteName,
    RouteOutcome,
    RunnerId,
    RunnerPhase,
    Tier,
)


@dataclass(frozen=True, slots=True)
class ClassLine:
    """One class of requests: its target and its outcomes on all hosts that reported."""

    route: RouteName
    tier: Tier
    latency_target_ms: int
    outcome: RouteOutcome


@dataclass(frozen=True, slots=True)
class HostLine:
    """One seat of the cell and the host that occupies it.

    ``host`` and ``revision`` are ``None`` if no outcomes were received from the
    seat. ``age_ms`` is the age of the outcomes received last.
    """

    seat: int
    host: HostName | None
    revision: RevisionNumber | None
    age_ms: int | None
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class FleetReport:
    """All values that the report shows."""

    host: HostName
    wall_ms: int
    span_ms: int
    revision: RevisionNumber | None
    revision_age_ms: int | None
    classes: tuple[ClassLine, ...]
    hosts: tuple[HostLine, ...]
    phases_by_runner: Mapping[RunnerId, RunnerPhase]
    data_centres_out: tuple[DataCentreName, ...]
    warnings: tuple[str, ...]


def sum_outcomes(notices: Iterable[OutcomeNotice]) -> dict[RouteName, RouteOutcome]:
    """Sum the outcomes of several hosts by route."""
    outcomes_by_route: dict[RouteName, list[RouteOutcome]] = {}
    for notice in notices:
        for outcome in notice.routes:
            outcomes_by_route.setdefault(outcome.route, []).append(outcome)
    return {
        route: _sum_route(route, outcomes)
        for route, outcomes in outcomes_by_route.items()
    }


def _sum_route(route: RouteName, outcomes: Sequence[RouteOutcome]) -> RouteOutcome:
    counts_by_code: dict[str, int] = {}
    for outcome in outcomes:
        for refusal in outcome.refusals:
            count = counts_by_code.get(refusal.code, 0)
            counts_by_code[refusal.code] = count + refusal.count
    return RouteOutcome(
        route=route,
        ended=sum(outcome.ended for outcome in outcomes),
        whole=sum(outcome.whole for outcome in outcomes),
        attained=sum(outcome.attained for outcome in outcomes),
        cancelled=sum(outcome.cancelled for outcome in outcomes),
        good_tokens=sum(outcome.good_tokens for outcome in outcomes),
        wasted_tokens=sum(outcome.wasted_tokens for outcome in outcomes),
        refusals=tuple(
            RefusalCount(code, count) for code, count in sorted(counts_by_code.items())
        ),
    )
