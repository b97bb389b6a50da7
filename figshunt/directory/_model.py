"""What the operator and the runners publish, in the router's own terms."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from figshunt.types import DataCentreName, PoolName, RouteName, RunnerId, TeamName


class Repeatability(Enum):
    """What may be done with a request that may already have run."""

    REPEATABLE = "repeatable"
    RUN_ONCE = "run_once"
    RESUMABLE = "resumable"


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool that serves a route, and its part of the route's requests."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class PublishedRoute:
    """A class of request, selected by host and the longest path prefix.

    ``urgency`` is 0 for the most urgent. ``target_ms`` is to the first event
    of a stream and to the whole answer of other requests; ``gap_target_ms``
    is the longest pause between events of a stream. No answer is waited for
    longer than ``timeout_ms``; one request runs on ``most_runners`` at most.
    """

    name: RouteName
    host: str
    path_prefix: str
    repeatability: Repeatability
    is_public: bool
    pool_shares: tuple[PoolShare, ...]
    urgency: int
    target_ms: int
    timeout_ms: int
    most_runners: int
    gap_target_ms: int | None = None


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one runner of a pool of model engines can hold.

    ``event_tokens`` is how many generated tokens one stream event carries,
    ``fetch_tokens_per_ms`` how many tokens of a prompt a runner can fetch from
    another one that holds them; 0 means that it can't.
    """

    kv_tokens: int
    event_tokens: int
    fetch_tokens_per_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PublishedPool:
    """A group of runners; ``engine`` is ``None`` for plain services.

    A runner that is cold takes ``cold_per_s`` requests a second over all
    hosts; 0 means that the pool has no such limit.
    """

    name: PoolName
    cold_ms: int
    cold_per_s: float
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class PublishedTeam:
    """A customer; ``urgency`` overrides that of the route if it is set."""

    name: TeamName
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that operators publish."""

    version: int
    routes: tuple[PublishedRoute, ...]
    pools_by_name: Mapping[PoolName, PublishedPool]
    teams_by_key_sha256: Mapping[str, PublishedTeam] = field(repr=False)


@dataclass(frozen=True, slots=True)
class PublishedRunner:
    """One runner as it lists itself.

    ``started_wall_ms`` tells two processes apart that use the same id;
    ``cold_left_ms`` counts from the moment at which the runner wrote it.
    """

    runner_id: RunnerId
    pool: PoolName
    address: str
    data_centre: DataCentreName
    slots: int
    is_leaving: bool
    cold_left_ms: int
    started_wall_ms: int | None
