"""Scheduling by tier alone; lower tiers can starve."""

from figshunt.policy._waiting_index import WaitingIndex
from figshunt.policy._waiting_queue import WaitingQueue
from figshunt.types import Moment, PoolName, RequestId, RoutedRequest, Tier


class StrictPriority:
    """The highest tier first, in order of arrival within a tier.

    Any lower-tier work yields to a higher tier, whatever its floor.
    """

    def __init__(self) -> None:
        self._queues_by_pool: dict[PoolName, dict[Tier, WaitingQueue]] = {}
        self._index = WaitingIndex()

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its pool and tier."""
        self._index.add(routed)
        self._queue(routed).append(routed)

    def put_back(self, routed: RoutedRequest, now: Moment) -> None:
        """Queue a request that was chosen before, in the place that it had."""
        self._index.add(routed)
        self._queue(routed).put_back(routed)

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""
        for _, queue in sorted(self._queues_by_pool.get(pool, {}).items()):
            first = queue.first()
            if first is not None:
                return self.remove(first.request_id, now)
        return None

    def remove(self, request_id: RequestId, now: Moment) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""
        routed = self._index.discard(request_id)
        if routed is not None:
            self._queue(routed).remove(request_id)
        return routed

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""
        passed = self._index.passed(now)
        for routed in passed:
            self.remove(routed.request_id, now)
        return passed

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""
        queues = self._queues_by_pool.get(pool, {}).values()
        return [routed for queue in queues for routed in queue]

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether a fresh request fits a queue of ``bound`` places."""
        queues = self._queues_by_pool.get(routed.pool, {}).values()
        return sum(queue.fresh_count for queue in queues) < bound

    def find_yielding(self, routed: RoutedRequest, bound: int) -> RoutedRequest | None:
        """Return the last fresh request of the lowest tier below ``routed``."""
        queues = self._queues_by_pool.get(routed.pool, {})
        for tier in sorted(queues, reverse=True):
            last = queues[tier].last_fresh()
            if tier > routed.tier and last is not None:
                return last
        return None

    def may_suspend(
        self, running: RoutedRequest, wanted_by: RoutedRequest, now: Moment
    ) -> bool:
        """Return whether the running work is of a lower tier."""
        return running.tier > wanted_by.tier

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """End the service of a chosen request; this policy keeps no account."""

    def _queue(self, routed: RoutedRequest) -> WaitingQueue:
        queues = self._queues_by_pool.setdefault(routed.pool, {})
        return queues.setdefault(routed.tier, WaitingQueue())
