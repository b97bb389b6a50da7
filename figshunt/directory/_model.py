"""The published configuration and runner entries, independent of the platform."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from figshunt.types import DataCentreName, PoolName, RouteName, RunnerId, TeamName


class Repeatability(Enum):
    """Whether a request that may already have run can be sent again.

    A ``REPEATABLE`` request can be sent again until its answer to the caller has
    started, a ``RESUMABLE`` one also after that. A ``RUN_ONCE`` request is sent
    again only if it certainly did not run.
    """

    REPEATABLE = "repeatable"
    RUN_ONCE = "run_once"
    RESUMABLE = "resumable"


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool that serves a route, with its weight among the pools of the route."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class PublishedRoute:
    """A class of request, selected by host and the longest path prefix.

    ``urgency`` 0 is the most urgent. ``target_ms`` is the target for the time
    to the first event of a stream, or to the complete answer of other requests.
    ``gap_target_ms`` is the target for the longest pause between events of a
    stream. A request fails if its answer is not complete after ``timeout_ms``.
    It runs on at most ``max_runners`` runners.
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
    max_runners: int
    gap_target_ms: int | None = None


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Capacities of one runner in a pool of model engines.

    ``kv_tokens`` is the size of its KV cache, ``event_tokens`` the number of
    generated tokens per stream event. ``fetch_tokens_per_ms`` is the rate at
    which it can fetch cached prompt tokens from another runner; 0 means that
    it cannot fetch any.
    """

    kv_tokens: int
    event_tokens: int
    fetch_tokens_per_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PublishedPool:
    """A group of runners; ``engine`` is ``None`` for plain services.

    A runner is cold for ``cold_ms`` after its start. While it is cold, it takes
    ``cold_per_s`` requests per second from all hosts together; 0 means that
    the pool has no such limit.
    """

    name: PoolName
    cold_ms: int
    cold_per_s: float
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class PublishedTeam:
    """A customer; ``urgency`` overrides the urgency of the route if it is set."""

    name: TeamName
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class PublishedLimits:
    """What callers may send, and how long they may take, where it is published."""

    header_bytes: int | None = None
    header_timeout_ms: int | None = None
    body_bytes: int | None = None
    idle_timeout_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the routes, pools and teams that operators publish.

    ``requires_caller_key`` is set if it names teams, even if none of them has a key:
    then only public routes are served.
    """

    version: int
    routes: tuple[PublishedRoute, ...]
    pools_by_name: Mapping[PoolName, PublishedPool]
    requires_caller_key: bool
    teams_by_key_sha256: Mapping[str, PublishedTeam] = field(repr=False)
    limits: PublishedLimits = PublishedLimits()


@dataclass(frozen=True, slots=True)
class PublishedRunner:
    """One runner as described by its own directory entry.

    ``started_wall_ms`` distinguishes two processes that use the same id.
    ``cold_left_ms`` is the remaining cold time when the entry was written.
    """

    runner_id: RunnerId
    pool: PoolName
    address: str
    data_centre: DataCentreName
    slots: int
    is_leaving: bool
    cold_left_ms: int
    started_wall_ms: int | None
