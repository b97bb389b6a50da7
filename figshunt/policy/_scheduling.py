"""The contract of a scheduling policy."""

from typing import Protocol

from figshunt.types import Moment, PoolName, RequestId, RoutedRequest


class SchedulingPolicy(Protocol):
    """Decides which waiting request of a pool gets the next free slot."""

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a request to the queue of its pool."""

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""

    def remove(self, request_id: RequestId) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """Account for slot time that a request used."""
