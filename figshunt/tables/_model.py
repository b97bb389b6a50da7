"""Immutable model of the routes and pools tables."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from figshunt.types import (
    DataCentreName,
    DataCentreState,
    GenerationNumber,
    PoolKind,
    PoolName,
    RevisionNumber,
    RouteName,
    RunnerId,
    TeamName,
    Tier,
)


@dataclass(frozen=True, slots=True)
class Route:
    """One class of requests.

    For scheduling, ``latency_target_ms`` applies to the first token on engine
    pools and to the complete answer on plain pools. The outcome counts apply
    it to the first token of a stream and to the complete answer of any other
    request. ``floor_share`` is the fraction of the pool's slot time that is
    reserved for the class. ``deadline_ms`` is the maximum time from the arrival
    of a request to its complete answer, and ``max_run_ms`` the maximum time that
    one attempt may occupy a slot. No filter uses ``token_gap_target_ms``.
    """

    name: RouteName
    pool: PoolName
    tier: Tier
    latency_target_ms: int
    idempotent: bool
    deadline_ms: int
    max_run_ms: int
    floor_share: float = 0.0
    weight: float = 1.0
    token_gap_target_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Team:
    """One customer; ``key_sha256`` is the SHA-256 hash of its caller key."""

    name: TeamName
    key_sha256: str
    weight: float = 1.0
    requests_per_minute: int | None = None


@dataclass(frozen=True, slots=True)
class Runner:
    """One back end that serves the requests of a pool."""

    runner_id: RunnerId
    url: str
    data_centre: DataCentreName
    pool: PoolName


@dataclass(frozen=True, slots=True)
class Pool:
    """A group of runners that can serve the same requests.

    ``limit`` is the number of requests that a warm runner may run at once,
    summed over all hosts; ``cold_limit`` is the same for a runner that has just
    started. Without ``reports_load``, the runners offer no load report and keep
    the cold limit. With ``select_from_host_list``, the pool also contains its
    runners of the host list. No filter uses ``checks_fencing``.
    """

    name: PoolName
    kind: PoolKind
    limit: int
    cold_limit: int
    runner_ids: tuple[RunnerId, ...]
    reports_load: bool = True
    checks_fencing: bool = False
    select_from_host_list: bool = False


@dataclass(frozen=True, slots=True)
class Tables:
    """The routes and pools tables of one revision.

    Operators increase ``generation`` only to assert that all hosts replaced so
    far are stopped. Claims of an older generation are then ignored.
    """

    revision: RevisionNumber
    generation: GenerationNumber
    routes_by_name: Mapping[RouteName, Route]
    pools_by_name: Mapping[PoolName, Pool]
    runners_by_id: Mapping[RunnerId, Runner]
    teams_by_key_sha256: Mapping[str, Team] = field(repr=False)
    data_centre_states_by_name: Mapping[DataCentreName, DataCentreState]
    teams_by_name: Mapping[TeamName, Team] = field(default_factory=dict, repr=False)

    def team_for_caller_key(self, caller_key: str) -> Team | None:
        """Return the team to which ``caller_key`` belongs, if there is one.

        The lookup is by hash, so its timing depends only on the hash of the
        given key and reveals nothing about the keys of other teams.
        """
        digest = hashlib.sha256(caller_key.encode()).hexdigest()
        return self.teams_by_key_sha256.get(digest)

    def is_data_centre_out(self, runner_id: RunnerId) -> bool:
        """Return whether the runner's data centre is out of service."""
        runner = self.runners_by_id[runner_id]
        state = self.data_centre_states_by_name.get(runner.data_centre)
        return state is not DataCentreState.IN
