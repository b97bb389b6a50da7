"""Scheduling in order of arrival; the baseline that others are compared with."""

from figshunt.types import Moment, PoolName, RequestId, RoutedRequest


class FirstInFirstOut:
    """One queue for each pool, in order of arrival."""

    def __init__(self) -> None:
        self._requests_by_pool: dict[PoolName, dict[RequestId, RoutedRequest]] = {}

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a request to the queue of its pool."""
        queue = self._requests_by_pool.setdefault(routed.pool, {})
        queue[routed.request_id] = routed

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""
        queue = self._requests_by_pool.get(pool)
        if not queue:
            return None
        return queue.pop(next(iter(queue)))

    def remove(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""
        for queue in self._requests_by_pool.values():
            if request_id in queue:
                return queue.pop(request_id)
        return None

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""
        expired = [
            routed
            for queue in self._requests_by_pool.values()
            for routed in queue.values()
            if routed.deadline_ms <= now.monotonic_ms
        ]
        for routed in expired:
            self.remove(routed.request_id)
        return expired

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""
        return list(self._requests_by_pool.get(pool, {}).values())

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """Account for slot time that a request used; this policy doesn't."""
