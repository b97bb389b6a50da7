"""Released requests that hold a slot, as the scheduler sees them."""

from collections.abc import Iterable
from dataclasses import dataclass

from figshunt.policy import RunEstimates
from figshunt.types import (
    Moment,
    PoolKind,
    PoolName,
    RequestId,
    RoutedRequest,
    Tier,
)


@dataclass(slots=True)
class RunningRequest:
    """A released request and the slot time that was expected of it then.

    ``asked_ms`` is when it was asked to yield its slot. It ends at that same
    time if it yields; one that runs on can't be suspended.
    """

    routed: RoutedRequest
    started_ms: int
    expected_ms: int
    asked_ms: int | None = None


class RunningWork:
    """Running requests of this daemon by pool; bounded by its slots."""

    def __init__(self, estimates: RunEstimates) -> None:
        self._estimates = estimates
        self._running_by_pool: dict[PoolName, dict[RequestId, RunningRequest]] = {}
        self._pools_by_id: dict[RequestId, PoolName] = {}

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._pools_by_id

    def start(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a request that was released."""
        expected_ms = self._estimates.run_ms(routed, now)
        running = RunningRequest(routed, now.monotonic_ms, expected_ms)
        self._running_by_pool.setdefault(routed.pool, {})[routed.request_id] = running
        self._pools_by_id[routed.request_id] = routed.pool

    def end(self, request_id: RequestId) -> RunningRequest | None:
        """Remove and return a request, if it is there."""
        pool = self._pools_by_id.pop(request_id, None)
        return self._running_by_pool[pool].pop(request_id) if pool else None

    def count(self, pool: PoolName) -> int:
        """Return how many requests run in a pool."""
        return len(self._running_by_pool.get(pool, {}))

    def of_pool(self, pool: PoolName) -> Iterable[RunningRequest]:
        """Return the running requests of a pool."""
        return self._running_by_pool.get(pool, {}).values()

    def lowest_tier(self, pool: PoolName) -> Tier | None:
        """Return the lowest tier of which a request runs."""
        return max((one.routed.tier for one in self.of_pool(pool)), default=None)

    def left_ms(self, running: RunningRequest, now: Moment) -> int:
        """Return the slot time that a running request is expected to need still."""
        elapsed_ms = now.monotonic_ms - running.started_ms
        return max(0, running.expected_ms - elapsed_ms)

    def left_in_tiers_ms(self, pool: PoolName, lowest: Tier, now: Moment) -> int:
        """Return the expected rest of all running work down to a tier."""
        return sum(
            self.left_ms(one, now)
            for one in self.of_pool(pool)
            if one.routed.tier <= lowest
        )


def wasted_ms(
    running: RunningRequest, kind: PoolKind, estimates: RunEstimates, now: Moment
) -> int:
    """Return the slot time that is lost when the request is suspended now.

    A stream resumes at its offset and loses only the work before its next
    token; anything else starts again from nothing.
    """
    elapsed_ms = now.monotonic_ms - running.started_ms
    if kind is PoolKind.ENGINE and running.routed.request.stream:
        return min(elapsed_ms, estimates.first_token_ms(running.routed, now))
    return elapsed_ms
