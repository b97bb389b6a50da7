"""Scheduling by guaranteed floors, tiers, and weighted fairness."""

from dataclasses import dataclass, field

from figshunt.policy._class_shares import ClassShares
from figshunt.policy._scheduling import RunEstimates, TeamWeights
from figshunt.policy._team_queues import TeamQueues
from figshunt.policy._waiting_index import WaitingIndex
from figshunt.tables import Route
from figshunt.types import Moment, PoolName, RequestId, RoutedRequest


@dataclass(frozen=True, slots=True)
class ActiveService:
    """Charged slot time and start time of a chosen request that holds a slot.

    ``is_protected`` is set if it may not be preempted.
    """

    expected_ms: int
    started_ms: int
    is_protected: bool = False


@dataclass(slots=True)
class PoolQueues:
    """Waiting requests of a pool by class, and the slot time of its classes."""

    shares: ClassShares = field(default_factory=ClassShares)
    teams_by_route: dict[Route, TeamQueues] = field(default_factory=dict)


class TieredFair:
    """Serves classes below their floor first, then by tier and weight.

    Classes whose share of the slot time is below their floor are served
    first, by tier and then by use relative to the floor. If there are none,
    the highest tier is served; within a tier, the class with the least slot
    time per weight; within a class, teams by deficit round robin.

    Bound on the wait: a class with waiting requests gets one of the slots that
    become free once its share has decayed below its floor f. If the class used
    all of n slots before and others use m slots now, that happens after at
    most T * ln(1 + n / m * (1 / f - 1)), where T is the time constant of the
    shares. Classes of higher tiers that are below their own floors are served
    before it, but the floors of all classes add up to only a part of the pool's
    slot time, so it gets slots out of the rest.

    A request keeps the route with which it arrived, so a route that is changed
    by a newer revision of the tables counts as a separate class.
    """

    def __init__(self, weights: TeamWeights, estimates: RunEstimates) -> None:
        self._weights = weights
        self._estimates = estimates
        self._queues_by_pool: dict[PoolName, PoolQueues] = {}
        self._index = WaitingIndex()
        self._services_by_id: dict[RequestId, ActiveService] = {}

    def enqueue(self, routed: RoutedRequest, now: Moment) -> None:
        """Add a fresh request to the queue of its class and team."""
        self._index.add(routed)
        self._class_queues(routed, now).append(routed, now)

    def requeue(self, routed: RoutedRequest, now: Moment) -> None:
        """Return a previously chosen request to its earlier position in the queue."""
        self._index.add(routed)
        self._class_queues(routed, now).requeue(routed, now)

    def choose(self, pool: PoolName, now: Moment) -> RoutedRequest | None:
        """Remove and return the next request of the pool, if there is one."""
        queues = self._queues_by_pool.get(pool)
        route = self._next_class(queues, now) if queues else None
        if queues is None or route is None:
            return None
        next_request = queues.teams_by_route[route].pop_next(now)
        assert next_request is not None
        routed, expected_ms = next_request
        self._index.discard(routed.request_id)
        # A class whose floor is smaller than its requests would never complete one
        # if each were suspended as soon as the floor is used up.
        is_protected = routed.preemptions > 0 and queues.shares.is_below_floor(
            route, now.monotonic_ms
        )
        queues.shares.record_start(route, expected_ms, now.monotonic_ms)
        self._services_by_id[routed.request_id] = ActiveService(
            expected_ms, now.monotonic_ms, is_protected
        )
        return routed

    def remove(self, request_id: RequestId, now: Moment) -> RoutedRequest | None:
        """Remove and return a waiting request, if it is there."""
        routed = self._index.discard(request_id)
        if routed is not None:
            teams = self._queues_by_pool[routed.pool].teams_by_route[routed.route]
            teams.remove(routed, now)
        return routed

    def expire(self, now: Moment) -> list[RoutedRequest]:
        """Remove and return all requests whose deadline has passed."""
        expired_requests = self._index.expired(now)
        for routed in expired_requests:
            self.remove(routed.request_id, now)
        return expired_requests

    def waiting(self, pool: PoolName) -> list[RoutedRequest]:
        """Return the waiting requests of a pool, in no particular order."""
        queues = self._queues_by_pool.get(pool)
        if queues is None:
            return []
        return [
            routed
            for teams in queues.teams_by_route.values()
            for routed in teams.requests()
        ]

    def has_room(self, routed: RoutedRequest, bound: int) -> bool:
        """Return whether a fresh request can be added within the queue bound.

        Each class has reserved places in proportion to its floor, at least
        one. They don't count towards the bound, so that a floor doesn't reduce
        the places of other classes.
        """
        queues = self._queues_by_pool.get(routed.pool)
        if queues is None:
            return bound > 0
        own_teams = queues.teams_by_route.get(routed.route)
        reserved_places = self._reserved_places(queues, routed.route, bound)
        if (own_teams.fresh_count if own_teams else 0) < reserved_places:
            return True
        used_places = sum(
            max(0, teams.fresh_count - self._reserved_places(queues, route, bound))
            for route, teams in queues.teams_by_route.items()
        )
        return used_places < bound

    def find_shed_candidate(
        self, routed: RoutedRequest, bound: int
    ) -> RoutedRequest | None:
        """Return the waiting fresh request to shed in favour of ``routed``, if any.

        This is a request of the lowest tier below that of ``routed`` with a
        class that uses more than its reserved places: the last one of that
        class's longest team queue. If there is no such class, it is the last
        request of the team with the most places per weight in the same tier,
        provided that it has more than the team of ``routed`` would have.
        """
        queues = self._queues_by_pool.get(routed.pool)
        if queues is None:
            return None
        for route in sorted(
            queues.teams_by_route, key=lambda candidate: -candidate.tier
        ):
            teams = queues.teams_by_route[route]
            reserved_places = self._reserved_places(queues, route, bound)
            if route.tier > routed.tier and teams.fresh_count > reserved_places:
                longest_queue = teams.longest_queue()
                return longest_queue[1] if longest_queue else None
        return self._find_shed_peer(queues, routed)

    def can_preempt(
        self, running: RoutedRequest, waiting_request: RoutedRequest, now: Moment
    ) -> bool:
        """Return whether the running request is of a lower tier and above its floor.

        Its class must not fall below its floor without this request, as
        computed by :meth:`choose`; otherwise the class would be given the
        freed slot again at once.
        """
        service = self._services_by_id.get(running.request_id)
        if running.tier <= waiting_request.tier or service is None:
            return False
        if service.is_protected:
            return False
        remaining_ms = service.expected_ms - (now.monotonic_ms - service.started_ms)
        shares = self._pool_queues(running.pool).shares
        return not shares.is_below_floor(
            running.route, now.monotonic_ms, max(0, remaining_ms)
        )

    def record_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        """Charge the class and the team for the actual slot time of a request."""
        service = self._services_by_id.pop(routed.request_id, None)
        if service is None:
            return
        queues = self._pool_queues(routed.pool)
        queues.shares.record_end(
            routed.route, service.expected_ms, service.started_ms, now.monotonic_ms
        )
        teams = queues.teams_by_route[routed.route]
        teams.adjust_charge(routed.team, service.expected_ms - slot_ms, now)

    def _pool_queues(self, pool: PoolName) -> PoolQueues:
        return self._queues_by_pool.setdefault(pool, PoolQueues())

    def _class_queues(self, routed: RoutedRequest, now: Moment) -> TeamQueues:
        queues = self._pool_queues(routed.pool)
        teams = queues.teams_by_route.get(routed.route)
        if teams is None:
            self._remove_idle_classes(queues)
            teams = TeamQueues(self._weights, self._estimates)
            queues.teams_by_route[routed.route] = teams
        if not teams and not queues.shares.has_running_work(routed.route):
            queues.shares.activate(routed.route, now.monotonic_ms)
        return teams

    def _remove_idle_classes(self, queues: PoolQueues) -> None:
        for route in [
            candidate for candidate, teams in queues.teams_by_route.items() if not teams
        ]:
            if queues.shares.remove_if_idle(route):
                del queues.teams_by_route[route]

    def _next_class(self, queues: PoolQueues, now: Moment) -> Route | None:
        waiting_routes = [
            route for route, teams in queues.teams_by_route.items() if teams
        ]
        if len(waiting_routes) <= 1:
            return waiting_routes[0] if waiting_routes else None
        shares = queues.shares
        now_ms = now.monotonic_ms
        routes_below_floor = [
            route for route in waiting_routes if shares.is_below_floor(route, now_ms)
        ]
        if routes_below_floor:
            return min(
                routes_below_floor,
                key=lambda candidate: (
                    candidate.tier,
                    shares.committed_ms(candidate, now_ms) / shares.floor(candidate),
                ),
            )
        return min(
            waiting_routes,
            key=lambda candidate: (
                candidate.tier,
                shares.committed_ms(candidate, now_ms) / candidate.weight,
            ),
        )

    def _reserved_places(self, queues: PoolQueues, route: Route, bound: int) -> int:
        return max(1, int(queues.shares.floor(route) * bound))

    def _find_shed_peer(
        self, queues: PoolQueues, routed: RoutedRequest
    ) -> RoutedRequest | None:
        own_teams = queues.teams_by_route.get(routed.route)
        own_places = (
            own_teams.fresh_count_of_team(routed.team) if own_teams else 0
        ) + 1
        own_weight = routed.route.weight * self._weights.weight(routed.team)
        max_weighted_places = own_places / own_weight
        shed_candidate = None
        for route, teams in queues.teams_by_route.items():
            longest_queue = teams.longest_queue() if route.tier == routed.tier else None
            if (
                longest_queue is not None
                and longest_queue[0] / route.weight > max_weighted_places
            ):
                max_weighted_places = longest_queue[0] / route.weight
                shed_candidate = longest_queue[1]
        return shed_candidate
