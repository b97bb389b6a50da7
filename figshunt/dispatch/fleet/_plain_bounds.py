"""Bounds what all hosts together send to one plain service.

The bounds answer a service that turns away what exceeds its slots: without them, calls
go to full runners while others have room. They hold only while runners turn calls
away; a service that queues all calls itself gets them at once. They keep the invariant
that no call waits while a place is known to be free.
"""

from figshunt.directory import PublishedRunner
from figshunt.dispatch.fleet._engine_load import EngineLoad
from figshunt.types import PoolName, RunnerId

# The slots of a pool's runners are kept for this long after one has turned a call away.
BOUNDED_MS = 10_000

# A runner that turned a call away counts as full for this long. Hosts learn of each
# other's calls up to 75 ms late.
FULL_MS = 75

# A runner with less than this share of its slots in use has room for the calls that
# arrive until the end of a call is told with a later status.
CROWDED_SHARE = 0.5

# What a host told of a plain service is dropped after this long, as its last datagram
# may be lost. Calls that take longer are counted by their runner alone.
TOLD_CALLS_MS = 1_000


class PlainBounds:
    """The pools of plain services whose runners have turned calls away."""

    def __init__(self) -> None:
        self._rejected_ms_by_pool: dict[PoolName, int] = {}
        self._full_until_ms_by_runner: dict[RunnerId, int] = {}

    def record_rejection(self, pool: PoolName, now_ms: int) -> bool:
        """Record that a runner turned a call of this host or of a peer away.

        :returns: whether the slots of the pool were not kept before.
        """
        was_bounded = self.is_bounded(pool, now_ms)
        self._rejected_ms_by_pool[pool] = now_ms
        return not was_bounded

    def mark_full(self, runner_id: RunnerId, now_ms: int) -> None:
        """Record that a runner, of engines too, turned a call of this host away."""
        self._full_until_ms_by_runner[runner_id] = now_ms + FULL_MS

    def is_bounded(self, pool: PoolName, now_ms: int) -> bool:
        """Return whether the slots of the pool's runners are kept."""
        rejected_ms = self._rejected_ms_by_pool.get(pool)
        return rejected_ms is not None and now_ms - rejected_ms <= BOUNDED_MS

    def is_full(self, runner_id: RunnerId, now_ms: int) -> bool:
        """Return whether a runner has just turned a call of this host away."""
        return self._full_until_ms_by_runner.get(runner_id, 0) > now_ms

    def full_until_ms(self, runner_id: RunnerId) -> int:
        """Return until when a runner counts as full."""
        return self._full_until_ms_by_runner.get(runner_id, 0)

    def retain(self, runner_ids: set[RunnerId]) -> None:
        """Remove the state of all other runners."""
        for runner_id in self._full_until_ms_by_runner.keys() - runner_ids:
            del self._full_until_ms_by_runner[runner_id]


def find_emptiest(
    runners: list[tuple[PublishedRunner, EngineLoad]],
) -> list[PublishedRunner]:
    """Return the runners with a free slot and nearly the fewest requests for each.

    Hosts that see the same loads draw one of several, as each sees the others' calls
    late. A runner is nearly as empty as another if one request makes the difference.
    """
    open_runners = [
        (load.requests / max(1, runner.slots), runner)
        for runner, load in runners
        if load.requests < max(1, runner.slots)
    ]
    if not open_runners:
        return []
    lowest = min(occupancy for occupancy, _ in open_runners)
    return [
        runner
        for occupancy, runner in open_runners
        if occupancy <= lowest + 1 / max(1, runner.slots)
    ]


def is_crowded(load: EngineLoad, runner: PublishedRunner) -> bool:
    """Return whether a plain service may soon have no free slot."""
    return load.requests >= CROWDED_SHARE * runner.slots
