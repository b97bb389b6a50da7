"""Limits this host's attempts at cold runners to its share of a common bound."""

from dataclasses import dataclass
from math import ceil

from figshunt.types import RunnerId


@dataclass(frozen=True, slots=True)
class SharedBounds:
    """Bounds that the platform sets on the sum over all hosts.

    In any second a cold runner may receive at most ``cold_overshoot`` times its
    published rate plus ``cold_slack`` requests. In any ``retry_window_ms`` the
    retries of a pool may not exceed ``retry_share`` of its requests plus
    ``retry_slack``. Processing a shared prompt part again has a price within
    ``reuse_window_ms`` of its last use. In any ``limit_window_ms`` a runner that names
    a limit may receive ``limit_overshoot`` times that plus ``limit_slack`` requests.
    """

    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: int = 10_000
    reuse_window_ms: int = 6_000
    limit_overshoot: float = 1.5
    limit_slack: float = 5.0
    limit_window_ms: int = 4_000


# Share of the common bound that hosts use. The rest is a reserve for hosts that are
# not known yet and for attempts that arrive in bursts.
COLD_BOUND_SHARE = 0.9

SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class HostRank:
    """Position of this host, from 0, among the hosts that share a bound."""

    rank: int
    hosts: int


class ColdLimit:
    """Computes when this host may send to a cold runner.

    If the bound allows each host at least one attempt per second, all hosts get
    the same number of attempts with equal pauses. With more hosts, the hosts form
    groups that take turns by the second. Each group may use half of the bound,
    since any interval of one second overlaps the turns of at most two groups.
    """

    def __init__(self, bounds: SharedBounds) -> None:
        self._bounds = bounds
        self._cold_since_ms_by_runner: dict[RunnerId, int] = {}
        self._last_attempt_ms_by_runner: dict[RunnerId, int] = {}

    def mark_cold(self, runner_id: RunnerId, now_ms: int) -> None:
        """Record when the runner was listed as cold; turns are counted from then."""
        self._cold_since_ms_by_runner[runner_id] = now_ms

    def next_ms(
        self, runner_id: RunnerId, cold_per_s: float, rank: HostRank, now_ms: int
    ) -> int:
        """Return the earliest time at which this host may send to the runner."""
        bounds = self._bounds
        bound = cold_per_s * bounds.cold_overshoot + bounds.cold_slack
        bound = max(1.0, bound * COLD_BOUND_SHARE)
        own_attempts = int(bound / rank.hosts)
        last_attempt_ms = self._last_attempt_ms_by_runner.get(runner_id)
        if own_attempts >= 1:
            pause_ms = SECOND_MS // own_attempts + 1
            return (
                now_ms
                if last_attempt_ms is None
                else max(now_ms, last_attempt_ms + pause_ms)
            )
        groups = ceil(rank.hosts / max(1, int(bound / 2)))
        earliest_ms = (
            now_ms
            if last_attempt_ms is None
            else max(now_ms, last_attempt_ms + SECOND_MS)
        )
        cold_since_ms = self._cold_since_ms_by_runner.get(runner_id, 0)
        second = (earliest_ms - cold_since_ms) // SECOND_MS
        seconds_ahead = (rank.rank - second) % groups
        if not seconds_ahead:
            return earliest_ms
        return cold_since_ms + (second + seconds_ahead) * SECOND_MS

    def record(self, runner_id: RunnerId, now_ms: int) -> None:
        """Record an attempt at a cold runner."""
        self._last_attempt_ms_by_runner[runner_id] = now_ms

    def retain(self, runner_ids: set[RunnerId]) -> None:
        """Remove the state of all other runners."""
        for times_by_runner in (
            self._cold_since_ms_by_runner,
            self._last_attempt_ms_by_runner,
        ):
            for runner_id in times_by_runner.keys() - runner_ids:
                del times_by_runner[runner_id]
