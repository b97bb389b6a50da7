"""First-in, first-out scheduling, the baseline for comparing other policies."""

from figshunt.policy._waiting_index import WaitingIndex
from figshunt.policy._waiting_queue import WaitingQueue
from figshunt.types import Moment, PoolName, RequestId, RoutedRequest


class FirstInFirstOut:
    """Serves each pool's requests in order of arrival.

    It never sheds a waiting request or preempts a running one.
    """

    def __init__(self) -> None:
        self._queues_by_pool: dict[PoolName, WaitingQueue] = {}
        self._index = WaitingIndex()

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its pool."""
        self._index.add(routed)
        self._queue(routed.pool).append(routed)

    def requeue(self, routed: RoutedRequest, now: Moment) -> None:
        """Return a previously chosen request to its earlier position in the queue."""
        self._index.add(routed)
        self._queue(routed.pool).requeue(routed)

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
        expired_requests = self._index.expired(now)
        for routed in expired_requests:
            self.remove(routed.request_id, now)
        return expired_requests

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""
        return list(self._queue(pool))

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether the pool has fewer than ``bound`` fresh requests waiting."""
        return self._queue(routed.pool).fresh_count < bound

    def find_shed_candidate(
        self, routed: RoutedRequest, bound: int
    ) -> RoutedRequest | None:
        """Return ``None``: no waiting request is shed for another."""
        return None

    def can_preempt(
        self, running: RoutedRequest, waiting_request: RoutedRequest, now: Moment
    ) -> bool:
        """Return ``False``: running requests are never preempted."""
        return False

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """Do nothing: this policy doesn't account for slot time."""

    def _queue(self, pool: PoolName) -> WaitingQueue:
        return self._queues_by_pool.setdefault(pool, WaitingQueue())
