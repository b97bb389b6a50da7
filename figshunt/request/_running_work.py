"""Requests that the scheduler has released and that hold a slot."""

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
    """A released request and its expected slot time at its release.

    ``preempt_requested_ms`` is the time at which its preemption was requested.
    A preempted request ends at that same time; if it is still running
    afterwards, it can't be preempted.
    """

    routed: RoutedRequest
    started_ms: int
    expected_ms: int
    preempt_requested_ms: int | None = None


class RunningWork:
    """Running requests of this daemon by pool; their number is bounded by its slots."""

    def __init__(self, estimates: RunEstimates) -> None:
        self._estimates = estimates
        self._running_by_pool: dict[PoolName, dict[RequestId, RunningRequest]] = {}
        self._pool_by_id: dict[RequestId, PoolName] = {}

    def __contains__(self, request_id: RequestId) -> bool:
        return request_id in self._pool_by_id

    def start(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a request that has been released."""
        expected_ms = self._estimates.run_ms(routed, now)
        running_request = RunningRequest(routed, now.monotonic_ms, expected_ms)
        self._running_by_pool.setdefault(routed.pool, {})[
            routed.request_id
        ] = running_request
        self._pool_by_id[routed.request_id] = routed.pool

    def end(self, request_id: RequestId) -> RunningRequest | None:
        """Remove and return a request, if it is there."""
        pool = self._pool_by_id.pop(request_id, None)
        return self._running_by_pool[pool].pop(request_id) if pool else None

    def count(self, pool: PoolName) -> int:
        """Return the number of running requests of a pool."""
        return len(self._running_by_pool.get(pool, {}))

    def in_pool(self, pool: PoolName) -> Iterable[RunningRequest]:
        """Return the running requests of a pool."""
        return self._running_by_pool.get(pool, {}).values()

    def lowest_tier(self, pool: PoolName) -> Tier | None:
        """Return the lowest tier with a running request, if there is any."""
        return max(
            (request.routed.tier for request in self.in_pool(pool)), default=None
        )

    def remaining_ms(self, running_request: RunningRequest, now: Moment) -> int:
        """Return the remaining expected slot time of a running request."""
        elapsed_ms = now.monotonic_ms - running_request.started_ms
        return max(0, running_request.expected_ms - elapsed_ms)

    def remaining_in_tiers_ms(
        self, pool: PoolName, lowest_tier: Tier, now: Moment
    ) -> int:
        """Return the total remaining slot time of requests down to the given tier."""
        return sum(
            self.remaining_ms(request, now)
            for request in self.in_pool(pool)
            if request.routed.tier <= lowest_tier
        )


def discarded_ms(
    running_request: RunningRequest,
    kind: PoolKind,
    estimates: RunEstimates,
    now: Moment,
) -> int:
    """Return the slot time that is lost if the request is suspended now.

    A stream of an engine resumes at its offset, so it only loses the time to
    the first token of the new attempt. Any other request starts again from
    the beginning.
    """
    elapsed_ms = now.monotonic_ms - running_request.started_ms
    if kind is PoolKind.ENGINE and running_request.routed.request.stream:
        return min(elapsed_ms, estimates.first_token_ms(running_request.routed, now))
    return elapsed_ms
