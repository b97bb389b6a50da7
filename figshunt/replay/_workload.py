"""Description of traffic, and seeded generation of traces from it."""

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from figshunt.replay._trace import TraceHeader, TraceRequest
from figshunt.types import RouteName, TeamName

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Phase:
    """A part of the trace with a constant mean rate of arrivals."""

    start_ms: int
    end_ms: int
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class Length:
    """Log-normal distribution of a length in tokens, cut at both ends."""

    median: int
    spread: float
    least: int
    most: int

    def draw(self, random_source: random.Random) -> int:
        """Draw one length."""
        factor = random_source.lognormvariate(0.0, self.spread)
        return max(self.least, min(self.most, round(self.median * factor)))


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The requests of one route.

    Each request's prompt starts with one of ``prefixes`` shared beginnings
    (of each team, if ``prefix_by_team``) of ``prefix_tokens`` tokens.
    """

    route: RouteName
    phases: tuple[Phase, ...]
    prompt: Length
    output: Length | None = None
    prefixes: int = 0
    prefix_tokens: int = 0
    prefix_by_team: bool = True
    is_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Workload:
    """Everything that a trace is generated from."""

    name: str
    duration_ms: int
    weights_by_team: Mapping[TeamName, float]
    classes: tuple[TrafficClass, ...]


def generate_header(workload: Workload, seed: int) -> TraceHeader:
    """Return the first line of the workload's trace."""
    command = f"python -m figshunt.replay {workload.name} --seed {seed}"
    return TraceHeader(workload.name, command, seed, workload.duration_ms)


def generate_requests(workload: Workload, seed: int) -> list[TraceRequest]:
    """Return the workload's requests in order of arrival.

    Every class draws from a generator of its own, so a change to one class
    leaves the others as they were.
    """
    requests: list[TraceRequest] = []
    for traffic_class in workload.classes:
        random_source = random.Random(f"{seed}/{workload.name}/{traffic_class.route}")
        requests += _generate_class(workload, traffic_class, random_source)
    return sorted(requests, key=lambda one: (one.at_ms, one.name))


def _generate_class(
    workload: Workload, traffic_class: TrafficClass, random_source: random.Random
) -> Iterator[TraceRequest]:
    teams = list(workload.weights_by_team)
    weights = list(workload.weights_by_team.values())
    for number, at_ms in enumerate(_arrivals(traffic_class, random_source), start=1):
        team = random_source.choices(teams, weights)[0]
        output = traffic_class.output
        yield TraceRequest(
            at_ms=at_ms,
            route=traffic_class.route,
            team=team,
            name=f"{traffic_class.route}-{number}",
            prompt_tokens=traffic_class.prompt.draw(random_source),
            output_tokens=output.draw(random_source) if output else 0,
            prefix=_draw_prefix(traffic_class, team, random_source),
            prefix_tokens=traffic_class.prefix_tokens,
            is_repeatable=traffic_class.is_repeatable,
        )


def _arrivals(
    traffic_class: TrafficClass, random_source: random.Random
) -> Iterator[int]:
    """Yield Poisson arrivals; phases may overlap and then add up."""
    for phase in traffic_class.phases:
        at_ms = float(phase.start_ms)
        while True:
            at_ms += random_source.expovariate(phase.requests_per_s) * MS_PER_S
            if at_ms >= phase.end_ms:
                break
            yield int(at_ms)


def _draw_prefix(
    traffic_class: TrafficClass, team: TeamName, random_source: random.Random
) -> str:
    if not traffic_class.prefixes:
        return ""
    number = random_source.randrange(traffic_class.prefixes)
    if traffic_class.prefix_by_team:
        return f"{team}/{traffic_class.route}/{number}"
    return f"{traffic_class.route}/{number}"
