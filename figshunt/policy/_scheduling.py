"""The contract of a scheduling policy and what it needs to know."""

from typing import Protocol

from figshunt.types import Moment, PoolName, RequestId, RoutedRequest, TeamName


class TeamWeights(Protocol):
    """Published weights of teams."""

    def weight(self, team: TeamName) -> float:
        """Return the weight of a team; 1 where it isn't published."""


class RunEstimates(Protocol):
    """What is expected of a request before it has run."""

    def run_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected slot time of what is left of the request, at least 1."""

    def first_token_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected time from the start of an attempt to its first token."""


class SchedulingPolicy(Protocol):
    """Decides which waiting request of a pool gets the next free slot.

    A chosen request is in service until :meth:`record_service`. *Fresh*
    requests are those that were enqueued and never chosen; only these are
    counted against the queue bound and may be shed.
    """

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its pool."""

    def put_back(self, routed: RoutedRequest, now: Moment) -> None:
        """Queue a request that was chosen before, in the place that it had."""

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""

    def remove(self, request_id: RequestId, now: Moment) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether a fresh request fits a queue of ``bound`` places."""

    def find_yielding(self, routed: RoutedRequest, bound: int) -> RoutedRequest | None:
        """Return the waiting fresh request that is shed before ``routed`` is."""

    def may_suspend(
        self, running: RoutedRequest, wanted_by: RoutedRequest, now: Moment
    ) -> bool:
        """Return whether running work yields its slot to a waiting request."""

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """End the service of a chosen request that held a slot for ``slot_ms``."""


class PolicyBuilder(Protocol):
    """Builds the policy of one daemon."""

    def __call__(
        self, weights: TeamWeights, estimates: RunEstimates
    ) -> SchedulingPolicy:
        """Return a new policy without any waiting request."""
