"""Scheduling in order of arrival; the baseline that others are compared with."""

from figshunt.policy._waiting_index import WaitingIndex
from figshunt.policy._waiting_queue import WaitingQueue
from figshunt.types import Moment, PoolName, RequestId, RoutedRequest


class FirstInFirstOut:
    """One queue for each pool, in order of arrival; nothing yields."""

    def __init__(self) -> None:
        self._queues_by_pool: dict[PoolName, WaitingQueue] = {}
        self._index = WaitingIndex()

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its pool."""
        self._index.add(routed)
        self._queue(routed.pool).append(routed)

    def put_back(self, routed: RoutedRequest, now: Moment) -> None:
        """Queue a request that was chosen before, in the place that it had."""
        self._index.add(routed)
        self._queue(routed.pool).put_back(routed)

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""
        first = self._queue(pool).first()
        return self.remove(first.request_id, now) if first else None

    def remove(self, request_id: RequestId, now: Moment) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""
        routed = self._index.discard(request_id)
        if routed is not None:
            self._queue(routed.pool).remove(request_id)
        return routed

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""
        passed = self._index.passed(now)
        for routed in passed:
            self.remove(routed.request_id, now)
        return passed

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""
        return list(self._queue(pool))

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether a fresh request fits a queue of ``bound`` places."""
        return self._queue(routed.pool).fresh_count < bound

    def find_yielding(self, routed: RoutedRequest, bound: int) -> RoutedRequest | None:
        """Return nothing: no waiting request is shed for another."""
        return None

    def may_suspend(
        self, running: RoutedRequest, wanted_by: RoutedRequest, now: Moment
    ) -> bool:
        """Return ``False``: no running work yields."""
        return False

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """End the service of a chosen request; this policy keeps no account."""

    def _queue(self, pool: PoolName) -> WaitingQueue:
        return self._queues_by_pool.setdefault(pool, WaitingQueue())
