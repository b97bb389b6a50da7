"""Queues admitted requests until a slot is free for them."""

from collections.abc import Iterable

from figshunt.control import TablesView
from figshunt.pipeline import Feedback, Output
from figshunt.policy import (
    SchedulingPolicy,
    ServiceEstimates,
    TeamWeights,
    WaitingWork,
)
from figshunt.request._capacity_requests import CapacityRequests
from figshunt.request._preemption import PreemptionPlanner, latest_start_ms
from figshunt.request._refusal import refuse
from figshunt.request._running_work import RunningWork
from figshunt.slots import CapacityView
from figshunt.types import (
    AttemptEnded,
    CapacityChanged,
    CountEvent,
    ErrorCode,
    Message,
    Moment,
    PoolKind,
    PoolName,
    PreemptionRequested,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestId,
    RequestReleased,
    RequestUnplaced,
    RoutedRequest,
    RunnerChanged,
    RunOutcome,
    Step,
    TablesInForce,
    TimerDue,
    WakeAt,
)

MAX_QUEUED_REQUESTS = 1_024
MIN_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000


class ScheduleFilter:
    """Queues requests and releases them in the order set by the policy.

    Implements ``QueueView``. The policy limits each pool to ``queue_bound``
    fresh requests. Requests that have been released before don't count towards
    that limit, since their number is bounded by the slots; they keep their
    position and are never shed.
    """

    step = Step.SCHEDULE
    accepts: tuple[type[Message], ...] = (
        RequestAdmitted,
        RequestUnplaced,
        RequestCancelled,
        RequestEnded,
        AttemptEnded,
        CapacityChanged,
        RunnerChanged,
        TablesInForce,
        TimerDue,
    )

    def __init__(
        self,
        policy: SchedulingPolicy,
        capacity: CapacityView,
        tables: TablesView,
        weights: TeamWeights,
        estimates: ServiceEstimates,
        queue_bound: int = MAX_QUEUED_REQUESTS,
    ) -> None:
        self._policy = policy
        self._capacity = capacity
        self._tables = tables
        self._weights = weights
        self._estimates = estimates
        self._queue_bound = queue_bound
        self._running = RunningWork(estimates)
        self._preemption_planner = PreemptionPlanner(
            policy, self._running, estimates, capacity
        )
        self._capacity_requests = CapacityRequests()
        self._work_by_pool: dict[PoolName, WaitingWork] = {}
        self._unplaced_by_id: dict[RequestId, RoutedRequest] = {}

    def owns(self, request_id: RequestId) -> bool:
        """Return whether a request waits here for a slot."""
        return any(request_id in work for work in self._work_by_pool.values())

    def has_room(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether the request can be queued.

        A full queue has room if another request can be shed or preempted.
        """
        return (
            self._policy.has_room(routed, self._queue_bound)
            or self._policy.find_shed_candidate(routed, self._queue_bound) is not None
            or self.can_preempt_for(routed, now)
        )

    def can_preempt_for(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether a running request can be preempted for the given one."""
        kind = self._pool_kind(routed.pool)
        return kind is not None and self._preemption_planner.can_preempt_for(
            routed, kind, now
        )

    def expected_wait_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return a lower estimate of the time that a new request will wait.

        The estimate divides the waiting work ahead of the request, plus the
        remaining running work per slot, over all slots in use. Work of lower
        tiers isn't counted, even where a floor guarantees them slot time.
        """
        slot_count = self._running.count(routed.pool)
        if slot_count == 0 or self._capacity.has_free_slot(routed.pool, now):
            return 0
        remaining_ms = self._running.remaining_in_tiers_ms(
            routed.pool, routed.tier, now
        )
        ahead_ms = self._waiting_work(routed.pool).ahead_ms(routed)
        return int((ahead_ms + remaining_ms / slot_count) / slot_count)

    def retry_after_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the delay after which a refused request may be sent again."""
        wait_ms = self.expected_wait_ms(routed, now)
        return max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms))

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestAdmitted(routed):
                yield from self._admit(routed, now)
            case RequestUnplaced(routed):
                self._hold_unplaced(routed, now)
            case RequestCancelled(request_id):
                removed_request = self._remove_waiting(request_id, now)
                if removed_request is None:
                    yield message
                else:
                    yield Feedback(
                        RequestEnded(
                            removed_request, _guaranteed_outcome(removed_request), None
                        )
                    )
            case RequestEnded(routed):
                yield message
                self._end_service(routed, 0, now)
            case AttemptEnded():
                slot_ms = now.monotonic_ms - message.started_ms
                self._end_service(message.routed, slot_ms, now)
                self._estimates.record_attempt(message, now)
                yield message
            case CapacityChanged(pool):
                yield from self._release(pool, now)
            case RunnerChanged(_, pool):
                yield message
                yield from self._release(pool, now)
            case TablesInForce():
                yield message
                yield from self._refuse_removed_pools(now)
            case TimerDue():
                yield message
                yield from self._refuse_all_expired(now)
                for pool in tuple(self._work_by_pool):
                    yield from self._release(pool, now)

    def _admit(self, routed: RoutedRequest, now: Moment) -> Iterable[Output]:
        kind = self._pool_kind(routed.pool)
        if kind is None:
            yield from self._refuse_without_pool(routed)
        elif routed.request_id in self._running:
            self._hold_unplaced(routed, now)
        elif routed.deadline_ms <= now.monotonic_ms:
            yield from self._refuse_expired(routed)
        elif routed.attempts_started:
            self._policy.requeue(routed, now)
            yield from self._add_waiting(routed, kind, now)
        else:
            yield from self._admit_fresh(routed, kind, now)

    def _admit_fresh(
        self, routed: RoutedRequest, kind: PoolKind, now: Moment
    ) -> Iterable[Output]:
        """Queue a request; if the queue is full, make room or refuse it.

        The request to shed is a waiting one selected by the policy, otherwise
        the new one. It isn't shed if a running request of a lower tier can be
        preempted for it instead.
        """
        if not self._policy.has_room(routed, self._queue_bound):
            shed_candidate = (
                self._policy.find_shed_candidate(routed, self._queue_bound) or routed
            )
            victim = self._preemption_planner.select_victim(shed_candidate, kind, now)
            if victim is not None:
                yield from self._preempt(victim)
            else:
                self._remove_waiting(shed_candidate.request_id, now)
                yield from self._refuse_shed(shed_candidate, now)
                if shed_candidate is routed:
                    return
        self._policy.enqueue(routed, now)
        yield from self._add_waiting(routed, kind, now)

    def _add_waiting(
        self, routed: RoutedRequest, kind: PoolKind, now: Moment
    ) -> Iterable[Output]:
        work = self._waiting_work(routed.pool)
        work.add(routed, now)
        yield from self._release(routed.pool, now)
        if routed.request_id not in work:
            return
        yield WakeAt(routed.deadline_ms)
        latest_ms = latest_start_ms(routed, kind, self._estimates, now)
        if latest_ms > now.monotonic_ms:
            yield WakeAt(latest_ms)

    def _release(self, pool: PoolName, now: Moment) -> Iterable[Output]:
        work = self._waiting_work(pool)
        if not len(work):
            return
        if self._capacity.has_free_slot(pool, now):
            self._requeue_unplaced(pool, now)
        while self._capacity.has_free_slot(pool, now):
            routed = self._policy.choose(pool, now)
            if routed is None:
                return
            work.discard(routed.request_id)
            self._running.start(routed, now)
            yield RequestReleased(routed)
        yield from self._request_capacity(pool, work, now)

    def _request_capacity(
        self, pool: PoolName, work: WaitingWork, now: Moment
    ) -> Iterable[Output]:
        """Request capacity, and preempt lower tiers for requests that are late."""
        tier = work.highest_tier()
        kind = self._pool_kind(pool)
        if tier is None or kind is None:
            return
        yield from self._capacity_requests.request_capacity(pool, tier, len(work), now)
        for victim in self._preemption_planner.select_victims(pool, kind, now):
            yield from self._preempt(victim)

    def _preempt(self, victim: RoutedRequest) -> Iterable[Output]:
        yield CountEvent("preemptions", {"route": victim.route.name})
        yield PreemptionRequested(victim.request_id)

    def _hold_unplaced(self, routed: RoutedRequest, now: Moment) -> None:
        """Hold a released request that suits no free slot until capacity changes."""
        self._end_service(routed, 0, now)
        self._unplaced_by_id[routed.request_id] = routed
        self._waiting_work(routed.pool).add(routed, now)

    def _requeue_unplaced(self, pool: PoolName, now: Moment) -> None:
        for routed in tuple(self._unplaced_by_id.values()):
            if routed.pool == pool:
                del self._unplaced_by_id[routed.request_id]
                self._policy.requeue(routed, now)

    def _end_service(self, routed: RoutedRequest, slot_ms: int, now: Moment) -> None:
        self._running.end(routed.request_id)
        self._policy.record_service(routed, slot_ms, now)

    def _remove_waiting(
        self, request_id: RequestId, now: Moment
    ) -> RoutedRequest | None:
        removed_request = self._policy.remove(request_id, now)
        removed_request = removed_request or self._unplaced_by_id.pop(request_id, None)
        if removed_request is not None:
            self._waiting_work(removed_request.pool).discard(request_id)
        return removed_request

    def _refuse_all_expired(self, now: Moment) -> Iterable[Output]:
        expired_requests = self._policy.expire(now)
        for routed in tuple(self._unplaced_by_id.values()):
            if routed.deadline_ms <= now.monotonic_ms:
                expired_requests.append(self._unplaced_by_id.pop(routed.request_id))
        for routed in expired_requests:
            self._waiting_work(routed.pool).discard(routed.request_id)
            yield from self._refuse_expired(routed)

    def _refuse_removed_pools(self, now: Moment) -> Iterable[Output]:
        for pool in [
            name for name in self._work_by_pool if self._pool_kind(name) is None
        ]:
            self._requeue_unplaced(pool, now)
            for routed in self._policy.waiting(pool):
                self._remove_waiting(routed.request_id, now)
                yield from self._refuse_without_pool(routed)
            del self._work_by_pool[pool]

    def _refuse_without_pool(self, routed: RoutedRequest) -> Iterable[Output]:
        return refuse(
            routed,
            ErrorCode.NO_RUNNER,
            self.step,
            f"pool {routed.pool!r} is no longer in the tables",
            outcome=_guaranteed_outcome(routed),
        )

    def _refuse_expired(self, routed: RoutedRequest) -> Iterable[Output]:
        return refuse(
            routed,
            ErrorCode.DEADLINE_PASSED,
            self.step,
            "the deadline passed while the request was queued",
            outcome=_guaranteed_outcome(routed),
        )

    def _refuse_shed(self, routed: RoutedRequest, now: Moment) -> Iterable[Output]:
        yield CountEvent("requests_shed", {"route": routed.route.name})
        yield from refuse(
            routed,
            ErrorCode.QUEUE_FULL,
            self.step,
            f"the queue of pool {routed.pool!r} is full",
            retry_after_ms=self.retry_after_ms(routed, now),
        )

    def _waiting_work(self, pool: PoolName) -> WaitingWork:
        work = self._work_by_pool.get(pool)
        if work is None:
            work = WaitingWork(self._weights, self._estimates)
            self._work_by_pool[pool] = work
        return work

    def _pool_kind(self, pool: PoolName) -> PoolKind | None:
        tables = self._tables.current()
        pool_entry = tables.pools_by_name.get(pool) if tables else None
        return pool_entry.kind if pool_entry else None


def _guaranteed_outcome(routed: RoutedRequest) -> RunOutcome:
    return RunOutcome.MAY_HAVE_RUN if routed.attempts_started else RunOutcome.NOT_RUN
