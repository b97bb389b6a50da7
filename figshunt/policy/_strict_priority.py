"""Scheduling by tier alone, under which lower tiers can starve."""

from figshunt.policy._waiting_index import WaitingIndex
from figshunt.policy._waiting_queue import WaitingQueue
from figshunt.types import Moment, PoolName, RequestId, RoutedRequest, Tier


class StrictPriority:
    """Serves the highest tier first, and each tier in order of arrival.

    Requests of a lower tier can always be preempted or shed for a higher
    tier, regardless of the floors of their classes.
    """

    def __init__(self) -> None:
        self._queues_by_pool: dict[PoolName, dict[Tier, WaitingQueue]] = {}
        self._index = WaitingIndex()

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its pool and tier."""
        self._index.add(routed)
        self._queue(routed).append(routed)

    def requeue(self, routed: RoutedRequest, now: Moment) -> None:
        """Return a previously chosen request to its earlier position in the queue."""
        self._index.add(routed)
        self._queue(routed).requeue(routed)

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
        expired_requests = self._index.expired(now)
        for routed in expired_requests:
            self.remove(routed.request_id, now)
        return expired_requests

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""
        queues = self._queues_by_pool.get(pool, {}).values()
        return [routed for queue in queues for routed in queue]

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether the pool has fewer than ``bound`` fresh requests waiting."""
        queues = self._queues_by_pool.get(routed.pool, {}).values()
        return sum(queue.fresh_count for queue in queues) < bound

    def find_shed_candidate(
        self, routed: RoutedRequest, bound: int
    ) -> RoutedRequest | None:
        """Return the last fresh request of the lowest tier, if lower than ``routed``'s.

        Tiers without fresh requests are skipped.
        """
        queues = self._queues_by_pool.get(routed.pool, {})
        for tier in sorted(queues, reverse=True):
            last = queues[tier].last_fresh()
            if tier > routed.tier and last is not None:
                return last
        return None

    def can_preempt(
        self, running: RoutedRequest, waiting_request: RoutedRequest, now: Moment
    ) -> bool:
        """Return whether the running request is of a lower tier."""
        return running.tier > waiting_request.tier

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """Do nothing: this policy doesn't account for slot time."""

    def _queue(self, routed: RoutedRequest) -> WaitingQueue:
        queues = self._queues_by_pool.setdefault(routed.pool, {})
        return queues.setdefault(routed.tier, WaitingQueue())
