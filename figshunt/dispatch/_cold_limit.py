"""This host's part of what a cold runner may get from all hosts."""

from dataclasses import dataclass
from math import ceil

from figshunt.types import RunnerId


@dataclass(frozen=True, slots=True)
class SharedBounds:
    """Bounds that the platform sets on the sum over all hosts.

    In any second a cold runner may get ``cold_overshoot`` times its published
    rate and ``cold_slack`` more; in any ``retry_window_ms`` a pool may get
    ``retry_share`` of its requests once more, and ``retry_slack`` besides.
    Reading a shared part of a prompt again is priced for ``reuse_window_ms``
    after its last use.
    """

    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: int = 10_000
    reuse_window_ms: int = 6_000


# Part of a shared bound that hosts use; the rest covers hosts that were not
# heard of yet and sends that bunch up on their way.
USED_SHARE = 0.7
COLD_USED_SHARE = 0.9

SECOND_MS = 1_000


@dataclass(frozen=True, slots=True)
class HostRank:
    """This host's place among all hosts that may share a bound, from 0."""

    rank: int
    hosts: int


class ColdLimit:
    """Spaces this host's sends to a cold runner.

    While each of n hosts can have a whole send in a second, all have equally
    many, with equal pauses. With more hosts than that, seconds are dealt to
    groups of hosts in turn, half of the bound to each, since any second
    touches the seconds of two groups at most.
    """

    def __init__(self, bounds: SharedBounds) -> None:
        self._bounds = bounds
        self._since_ms_by_runner: dict[RunnerId, int] = {}
        self._last_ms_by_runner: dict[RunnerId, int] = {}

    def begin(self, runner_id: RunnerId, now_ms: int) -> None:
        """Note when the runner was seen to be cold; seconds count from there."""
        self._since_ms_by_runner[runner_id] = now_ms

    def next_ms(
        self, runner_id: RunnerId, cold_per_s: float, rank: HostRank, now_ms: int
    ) -> int:
        """Return the earliest time, from now on, of a send to the runner."""
        bounds = self._bounds
        bound = cold_per_s * bounds.cold_overshoot + bounds.cold_slack
        bound = max(1.0, bound * COLD_USED_SHARE)
        own = int(bound / rank.hosts)
        last_ms = self._last_ms_by_runner.get(runner_id)
        if own >= 1:
            pause_ms = SECOND_MS // own + 1
            return now_ms if last_ms is None else max(now_ms, last_ms + pause_ms)
        groups = ceil(rank.hosts / max(1, int(bound / 2)))
        earliest_ms = now_ms if last_ms is None else max(now_ms, last_ms + SECOND_MS)
        since_ms = self._since_ms_by_runner.get(runner_id, 0)
        second = (earliest_ms - since_ms) // SECOND_MS
        ahead = (rank.rank - second) % groups
        if not ahead:
            return earliest_ms
        return since_ms + (second + ahead) * SECOND_MS

    def record(self, runner_id: RunnerId, now_ms: int) -> None:
        """Count a send to a cold runner."""
        self._last_ms_by_runner[runner_id] = now_ms

    def keep_only(self, runner_ids: set[RunnerId]) -> None:
        """Forget all other runners."""
        for by_runner in (self._since_ms_by_runner, self._last_ms_by_runner):
            for runner_id in by_runner.keys() - runner_ids:
                del by_runner[runner_id]
