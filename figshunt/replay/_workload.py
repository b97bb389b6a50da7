"""Workload descriptions and the generation of seeded traces from them."""

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from figshunt.replay._trace import TraceHeader, TraceRequest
from figshunt.types import RouteName, TeamName

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Phase:
    """A period with a constant mean arrival rate."""

    start_ms: int
    end_ms: int
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class LengthDistribution:
    """Log-normal distribution of a length in tokens, clamped to a range.

    ``sigma`` is the standard deviation of the logarithm of the length.
    """

    median: int
    sigma: float
    minimum: int
    maximum: int

    def draw(self, random_source: random.Random) -> int:
        """Return a random length."""
        factor = random_source.lognormvariate(0.0, self.sigma)
        return max(self.minimum, min(self.maximum, round(self.median * factor)))


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """The traffic of one route.

    Each prompt starts with one of ``prefix_count`` shared prefixes of
    ``prefix_tokens`` tokens. With ``prefix_by_team`` every team has its own
    set of prefixes.
    """

    route: RouteName
    phases: tuple[Phase, ...]
    prompt: LengthDistribution
    output: LengthDistribution | None = None
    prefix_count: int = 0
    prefix_tokens: int = 0
    prefix_by_team: bool = True
    is_repeatable: bool = True


@dataclass(frozen=True, slots=True)
class Workload:
    """The parameters from which a trace is generated."""

    name: str
    duration_ms: int
    weights_by_team: Mapping[TeamName, float]
    classes: tuple[TrafficClass, ...]


def generate_header(workload: Workload, seed: int) -> TraceHeader:
    """Return the header of the workload's trace."""
    command = f"python -m figshunt.replay {workload.name} --seed {seed}"
    return TraceHeader(workload.name, command, seed, workload.duration_ms)


def generate_requests(workload: Workload, seed: int) -> list[TraceRequest]:
    """Return the workload's requests in order of arrival.

    Each class has its own random number generator, so that a change to one
    class doesn't alter the requests of the others.
    """
    requests: list[TraceRequest] = []
    for traffic_class in workload.classes:
        random_source = random.Random(f"{seed}/{workload.name}/{traffic_class.route}")
        requests += _generate_class(workload, traffic_class, random_source)
    return sorted(requests, key=lambda request: (request.at_ms, request.name))


def _generate_class(
    workload: Workload, traffic_class: TrafficClass, random_source: random.Random
) -> Iterator[TraceRequest]:
    teams = list(workload.weights_by_team)
    weights = list(workload.weights_by_team.values())
    for number, at_ms in enumerate(
        _draw_arrivals(traffic_class, random_source), start=1
    ):
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


def _draw_arrivals(
    traffic_class: TrafficClass, random_source: random.Random
) -> Iterator[int]:
    """Yield Poisson arrival times; the rates of overlapping phases add up."""
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
    if not traffic_class.prefix_count:
        return ""
    number = random_source.randrange(traffic_class.prefix_count)
    if traffic_class.prefix_by_team:
        return f"{team}/{traffic_class.route}/{number}"
    return f"{traffic_class.route}/{number}"
