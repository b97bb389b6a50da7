"""Selection of running requests to preempt for waiting ones."""

from collections.abc import Sequence

from figshunt.policy import RunEstimates, SchedulingPolicy
from figshunt.request._running_work import RunningRequest, RunningWork, discarded_ms
from figshunt.slots import CapacityView
from figshunt.types import Moment, PoolKind, PoolName, RoutedRequest

# Fraction of the latency target that is reserved for errors of the estimates.
LATENCY_TARGET_MARGIN = 0.2


def latest_start_ms(
    routed: RoutedRequest, kind: PoolKind, estimates: RunEstimates, now: Moment
) -> int:
    """Return the latest start time at which a request meets its latency target.

    The result is 0 for a request whose answer has already begun, which makes
    the request late whenever it waits.
    """
    if routed.resume_offset:
        return 0
    target_ms = int((1 - LATENCY_TARGET_MARGIN) * routed.route.latency_target_ms)
    target_end_ms = routed.request.arrived.monotonic_ms + target_ms
    if kind is PoolKind.ENGINE:
        return target_end_ms - estimates.first_token_ms(routed, now)
    return target_end_ms - estimates.run_ms(routed, now)


class PreemptionPlanner:
    """Selects running requests to preempt.

    A victim has an idempotent route and, by the rules of the policies, a lower
    tier than the request for which it is preempted.
    """

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

    def select_victims(
        self, pool: PoolName, kind: PoolKind, now: Moment
    ) -> list[RoutedRequest]:
        """Return the running requests to preempt now; none is returned twice."""
        lowest_tier = self._running.lowest_tier(pool)
        if lowest_tier is None:
            return []
        waiting_requests = [
            request
            for request in self._policy.waiting(pool)
            if request.tier < lowest_tier
        ]
        highest_request = min(
            waiting_requests, key=lambda request: request.tier, default=None
        )
        if highest_request is None or not self.can_preempt_for(
            highest_request, kind, now
        ):
            return []
        late_requests = self._find_late(waiting_requests, pool, kind, now)
        requested_count = sum(
            request.preempt_requested_ms == now.monotonic_ms
            for request in self._running.in_pool(pool)
        )
        victims = []
        # The preemptions that were requested at this moment already free slots for
        # the first late requests.
        for routed in late_requests[requested_count:]:
            victim = self.select_victim(routed, kind, now)
            if victim is None:
                break
            victims.append(victim)
        return victims

    def select_victim(
        self, routed: RoutedRequest, kind: PoolKind, now: Moment
    ) -> RoutedRequest | None:
        """Return a running request to preempt for the given one, if there is any.

        It is marked so that it isn't selected again.
        """
        victim = self._find_victim(routed, kind, now)
        if victim is None:
            return None
        victim.preempt_requested_ms = now.monotonic_ms
        return victim.routed

    def can_preempt_for(
        self, routed: RoutedRequest, kind: PoolKind, now: Moment
    ) -> bool:
        """Return whether a running request can be preempted for the given one."""
        return self._find_victim(routed, kind, now) is not None

    def _find_victim(
        self, routed: RoutedRequest, kind: PoolKind, now: Moment
    ) -> RunningRequest | None:
        candidates = [
            request
            for request in self._running.in_pool(routed.pool)
            if request.preempt_requested_ms is None
            # Excluding requests that started at this moment prevents an endless
            # loop of preemptions and releases while one message is handled.
            and request.started_ms < now.monotonic_ms
            and request.routed.route.idempotent
            # Ending work on a runner that is leaving or has become cold gives
            # no slot to other requests.
            and self._capacity.can_reuse_slot(request.routed.request_id, now)
            and self._policy.can_preempt(request.routed, routed, now)
        ]
        return min(
            candidates,
            key=lambda request: (
                discarded_ms(request, kind, self._estimates, now),
                -request.routed.tier,
                -request.started_ms,
            ),
            default=None,
        )

    def _find_late(
        self,
        waiting_requests: Sequence[RoutedRequest],
        pool: PoolName,
        kind: PoolKind,
        now: Moment,
    ) -> list[RoutedRequest]:
        """Return the requests that would miss their target without a preemption.

        The waiting requests, ordered by tier and latest start, are matched
        with the running ones in the order in which these are expected to end.
        A waiting request is late if its latest start has passed or comes
        before the expected end of the running request matched with it. Without
        such a running request it is late only if its latest start has passed.
        """
        now_ms = now.monotonic_ms
        latest_starts = sorted(
            (request.tier, latest_start_ms(request, kind, self._estimates, now), index)
            for index, request in enumerate(waiting_requests)
        )
        remaining_times_ms = sorted(
            self._running.remaining_ms(request, now)
            for request in self._running.in_pool(pool)
        )
        remaining_times_ms += [0] * (len(latest_starts) - len(remaining_times_ms))
        return [
            waiting_requests[index]
            for (_, latest_ms, index), remaining_ms in zip(
                latest_starts, remaining_times_ms, strict=False
            )
            if latest_ms <= now_ms or latest_ms < now_ms + remaining_ms
        ]
