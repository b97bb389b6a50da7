"""Protocols for scheduling policies and for the data they depend on."""

from typing import Protocol

from figshunt.types import Moment, PoolName, RequestId, RoutedRequest, TeamName


class TeamWeights(Protocol):
    """Weights of teams, as published in the tables."""

    def weight(self, team: TeamName) -> float:
        """Return the weight of a team, or 1 if none is published."""


class RunEstimates(Protocol):
    """Estimates of how long a request will run."""

    def run_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected slot time of the request's remaining work, at least 1."""

    def first_token_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected time from the start of an attempt to its first token."""


class SchedulingPolicy(Protocol):
    """Decides which waiting request of a pool gets the next free slot.

    A chosen request is in service until :meth:`record_service` is called for
    it. *Fresh* requests are those that have been enqueued but never chosen;
    only these count towards the queue bound and can be shed.
    """

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its pool."""

    def requeue(self, routed: RoutedRequest, now: Moment) -> None:
        """Return a previously chosen request to its earlier position in the queue."""

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""

    def remove(self, request_id: RequestId, now: Moment) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether a fresh request can be added within the queue bound."""

    def find_shed_candidate(
        self, routed: RoutedRequest, bound: int
    ) -> RoutedRequest | None:
        """Return the waiting fresh request to shed in favour of ``routed``, if any."""

    def can_preempt(
        self, running: RoutedRequest, waiting_request: RoutedRequest, now: Moment
    ) -> bool:
        """Return whether a running request may be preempted for a waiting one."""

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """Record that a chosen request released its slot after ``slot_ms``."""


class PolicyBuilder(Protocol):
    """Creates the scheduling policy of a daemon."""

    def __call__(
        self, weights: TeamWeights, estimates: RunEstimates
    ) -> SchedulingPolicy:
        """Return a new policy with no waiting requests."""
