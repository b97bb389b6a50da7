"""Scheduling by floors, tiers, classes and teams."""

from dataclasses import dataclass, field

from figshunt.policy._class_shares import ClassShares
from figshunt.policy._scheduling import RunEstimates, TeamWeights
from figshunt.policy._team_queues import TeamQueues
from figshunt.policy._waiting_index import WaitingIndex
from figshunt.tables import Route
from figshunt.types import Moment, PoolName, RequestId, RoutedRequest


@dataclass(frozen=True, slots=True)
class Service:
    """A chosen request that holds a slot, and what it was charged."""

    expected_ms: int
    started_ms: int


@dataclass(slots=True)
class PoolQueues:
    """Waiting requests of a pool by class, and what its classes used."""

    shares: ClassShares = field(default_factory=ClassShares)
    teams_by_route: dict[Route, TeamQueues] = field(default_factory=dict)


class TieredFair:
    """Floors first, then the highest tier, then classes and teams by weight.

    A class whose share of the slot time is below its floor goes next;
    otherwise the highest tier; within a tier the class with the least slot
    time per weight; within a class teams by deficit round robin.

    Bound: a class with waiting work gets one of the slots that become free
    once its share has decayed below its floor f, at the latest after the
    window times ln(1 + n / m * (1 / f - 1)), if it used all of n slots before
    and others use m slots now. Classes of higher tiers that are below their
    own floors go before it; the floors' sum leaves it the rest.

    Requests keep the route that they came with: a route changed by a newer
    revision is a class of its own.
    """

    def __init__(self, weights: TeamWeights, estimates: RunEstimates) -> None:
        self._weights = weights
        self._estimates = estimates
        self._pools: dict[PoolName, PoolQueues] = {}
        self._index = WaitingIndex()
        self._services_by_id: dict[RequestId, Service] = {}

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its class and team."""
        self._index.add(routed)
        self._class_queues(routed, now).append(routed, now)

    def put_back(self, routed: RoutedRequest, now: Moment) -> None:
        """Queue a request that was chosen before, in the place that it had."""
        self._index.add(routed)
        self._class_queues(routed, now).put_back(routed, now)

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""
        queues = self._pools.get(pool)
        route = self._next_class(queues, now) if queues else None
        if queues is None or route is None:
            return None
        taken = queues.teams_by_route[route].take(now)
        assert taken is not None
        routed, expected_ms = taken
        self._index.discard(routed.request_id)
        queues.shares.start(route, expected_ms, now.monotonic_ms)
        self._services_by_id[routed.request_id] = Service(expected_ms, now.monotonic_ms)
        return routed

    def remove(self, request_id: RequestId, now: Moment) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""
        routed = self._index.discard(request_id)
        if routed is not None:
            teams = self._pools[routed.pool].teams_by_route[routed.route]
            teams.remove(routed, now)
        return routed

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""
        passed = self._index.passed(now)
        for routed in passed:
            self.remove(routed.request_id, now)
        return passed

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""
        queues = self._pools.get(pool)
        if queues is None:
            return []
        return [
            routed
            for teams in queues.teams_by_route.values()
            for routed in teams.requests()
        ]

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether a fresh request fits.

        Each class has places in proportion to its floor, at least one, that
        don't count against the bound: a floor takes no place from others.
        """
        queues = self._pools.get(routed.pool)
        if queues is None:
            return bound > 0
        own = queues.teams_by_route.get(routed.route)
        reserved = self._reserved_places(queues, routed.route, bound)
        if (own.fresh_count if own else 0) < reserved:
            return True
        used = sum(
            max(0, teams.fresh_count - self._reserved_places(queues, route, bound))
            for route, teams in queues.teams_by_route.items()
        )
        return used < bound

    def find_yielding(self, routed: RoutedRequest, bound: int) -> RoutedRequest | None:
        """Return the waiting fresh request that is shed before ``routed`` is.

        That is the last one of the lowest tier below, beyond the places of
        its class; within the same tier the last one of the team that holds
        the most places per weight, if it holds more than this team would.
        """
        queues = self._pools.get(routed.pool)
        if queues is None:
            return None
        for route in sorted(queues.teams_by_route, key=lambda one: -one.tier):
            teams = queues.teams_by_route[route]
            reserved = self._reserved_places(queues, route, bound)
            if route.tier > routed.tier and teams.fresh_count > reserved:
                longest = teams.longest()
                return longest[1] if longest else None
        return self._yielding_peer(queues, routed)

    def may_suspend(
        self, running: RoutedRequest, wanted_by: RoutedRequest, now: Moment
    ) -> bool:
        """Return whether the work is of a lower tier and above its floor.

        Without it the class must not be below its floor, by the measure of
        :meth:`choose`; otherwise it would get the freed slot back at once.
        """
        service = self._services_by_id.get(running.request_id)
        if running.tier <= wanted_by.tier or service is None:
            return False
        left_ms = service.expected_ms - (now.monotonic_ms - service.started_ms)
        shares = self._pool(running.pool).shares
        return not shares.is_owed(running.route, now.monotonic_ms, max(0, left_ms))

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """End the service of a chosen request that held a slot for ``slot_ms``."""
        service = self._services_by_id.pop(routed.request_id, None)
        if service is None:
            return
        queues = self._pool(routed.pool)
        queues.shares.end(
            routed.route, service.expected_ms, service.started_ms, now.monotonic_ms
        )
        teams = queues.teams_by_route[routed.route]
        teams.settle(routed.team, service.expected_ms - slot_ms, now)

    def _pool(self, pool: PoolName) -> PoolQueues:
        return self._pools.setdefault(pool, PoolQueues())

    def _class_queues(self, routed: RoutedRequest, now: Moment) -> TeamQueues:
        queues = self._pool(routed.pool)
        teams = queues.teams_by_route.get(routed.route)
        if teams is None:
            self._forget_idle(queues)
            teams = TeamQueues(self._weights, self._estimates)
            queues.teams_by_route[routed.route] = teams
        if not teams and not queues.shares.is_running(routed.route):
            queues.shares.join(routed.route, now.monotonic_ms)
        return teams

    def _forget_idle(self, queues: PoolQueues) -> None:
        for route in [one for one, teams in queues.teams_by_route.items() if not teams]:
            if queues.shares.forget_if_idle(route):
                del queues.teams_by_route[route]

    def _next_class(self, queues: PoolQueues, now: Moment) -> Route | None:
        waiting = [route for route, teams in queues.teams_by_route.items() if teams]
        if len(waiting) <= 1:
            return waiting[0] if waiting else None
        shares = queues.shares
        now_ms = now.monotonic_ms
        owed = [route for route in waiting if shares.is_owed(route, now_ms)]
        if owed:
            return min(
                owed,
                key=lambda one: (
                    one.tier,
                    shares.committed_ms(one, now_ms) / shares.floor(one),
                ),
            )
        return min(
            waiting,
            key=lambda one: (
                one.tier,
                shares.committed_ms(one, now_ms) / one.weight,
            ),
        )

    def _reserved_places(self, queues: PoolQueues, route: Route, bound: int) -> int:
        return max(1, int(queues.shares.floor(route) * bound))

    def _yielding_peer(
        self, queues: PoolQueues, routed: RoutedRequest
    ) -> RoutedRequest | None:
        own = queues.teams_by_route.get(routed.route)
        own_places = (own.fresh_of_team(routed.team) if own else 0) + 1
        own_weight = routed.route.weight * self._weights.weight(routed.team)
        most = own_places / own_weight
        yielding = None
        for route, teams in queues.teams_by_route.items():
            longest = teams.longest() if route.tier == routed.tier else None
            if longest is not None and longest[0] / route.weight > most:
                most = longest[0] / route.weight
                yielding = longest[1]
        return yielding
