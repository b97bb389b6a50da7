"""Which running work yields its slot to waiting requests."""

from collections.abc import Sequence

from figshunt.policy import RunEstimates, SchedulingPolicy
from figshunt.request._running_work import RunningRequest, RunningWork, wasted_ms
from figshunt.slots import CapacityView
from figshunt.types import Moment, PoolKind, PoolName, RoutedRequest

# Part of the latency target that is kept for errors of the estimates.
TARGET_MARGIN = 0.2


def latest_start_ms(
    routed: RoutedRequest, kind: PoolKind, estimates: RunEstimates, now: Moment
) -> int:
    """Return when a request must have started to meet its latency target.

    A request whose answer has begun is late from the moment that it waits.
    """
    if routed.resume_offset:
        return 0
    target_ms = int((1 - TARGET_MARGIN) * routed.route.latency_target_ms)
    due_ms = routed.request.arrived.monotonic_ms + target_ms
    if kind is PoolKind.ENGINE:
        return due_ms - estimates.first_token_ms(routed, now)
    return due_ms - estimates.run_ms(routed, now)


class PreemptionPlanner:
    """Chooses victims: never of an equal or higher tier, only idempotent work."""

    def __init__(
        self,
        policy: SchedulingPolicy,
        running: RunningWork,
        estimates: RunEstimates,
        capacity: CapacityView,
    ) -> None:
        self._policy = policy
        self._capacity = capacity
        self._running = running
        self._estimates = estimates

    def victims(
        self, pool: PoolName, kind: PoolKind, now: Moment
    ) -> list[RoutedRequest]:
        """Return the running requests to suspend now; none is returned twice."""
        lowest = self._running.lowest_tier(pool)
        if lowest is None:
            return []
        waiting = [one for one in self._policy.waiting(pool) if one.tier < lowest]
        first = min(waiting, key=lambda one: one.tier, default=None)
        if first is None or not self.would_yield(first, kind, now):
            return []
        late = self._late(waiting, pool, kind, now)
        asked = sum(
            one.asked_ms == now.monotonic_ms for one in self._running.of_pool(pool)
        )
        victims = []
        for routed in late[asked:]:
            victim = self.victim_for(routed, kind, now)
            if victim is None:
                break
            victims.append(victim)
        return victims

    def victim_for(
        self, routed: RoutedRequest, kind: PoolKind, now: Moment
    ) -> RoutedRequest | None:
        """Return running work that yields to the request, and mark it as asked."""
        victim = self._find(routed, kind, now)
        if victim is None:
            return None
        victim.asked_ms = now.monotonic_ms
        return victim.routed

    def would_yield(self, routed: RoutedRequest, kind: PoolKind, now: Moment) -> bool:
        """Return whether some running work yields to the request."""
        return self._find(routed, kind, now) is not None

    def _find(
        self, routed: RoutedRequest, kind: PoolKind, now: Moment
    ) -> RunningRequest | None:
        candidates = [
            one
            for one in self._running.of_pool(routed.pool)
            if one.asked_ms is None
            # Work that began at this moment can't end one handling of a
            # message in a loop of suspensions and releases.
            and one.started_ms < now.monotonic_ms and one.routed.route.idempotent
            # The slot of a runner that leaves or turned cold frees nothing.
            and self._capacity.frees_slot(one.routed.request_id, now)
            and self._policy.may_suspend(one.routed, routed, now)
        ]
        return min(
            candidates,
            key=lambda one: (
                wasted_ms(one, kind, self._estimates, now),
                -one.routed.tier,
                -one.started_ms,
            ),
            default=None,
        )

    def _late(
        self,
        waiting: Sequence[RoutedRequest],
        pool: PoolName,
        kind: PoolKind,
        now: Moment,
    ) -> list[RoutedRequest]:
        """Return who misses its target if it waits for work to end by itself."""
        now_ms = now.monotonic_ms
        starts = sorted(
            (one.tier, latest_start_ms(one, kind, self._estimates, now), index)
            for index, one in enumerate(waiting)
        )
        left = sorted(
            self._running.left_ms(one, now) for one in self._running.of_pool(pool)
        )
        left += [0] * (len(starts) - len(left))
        return [
            waiting[index]
            for (_, start_ms, index), left_ms in zip(starts, left, strict=False)
            if start_ms <= now_ms or start_ms < now_ms + left_ms
        ]
