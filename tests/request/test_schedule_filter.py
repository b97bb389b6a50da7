"""Tests of a pool's queue: releases, refusals, preemption and outcomes."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from figshunt.pipeline import Feedback, Pipeline
from figshunt.policy import ServiceEstimates, TieredFair
from figshunt.request import ScheduleFilter, TableTeams
from figshunt.tables import Tables
from figshunt.types import (
    AttemptEnded,
    AttemptId,
    CapacityChanged,
    CapacityRequested,
    ErrorCode,
    FailAnswer,
    Message,
    Moment,
    PoolName,
    PreemptionRequested,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestId,
    RequestReleased,
    RequestUnplaced,
    RoutedRequest,
    RunnerId,
    RunOutcome,
    Step,
    TablesInForce,
    TimerDue,
    WakeAt,
)
from tests.builders import build_pool, build_routed_request, build_tables
from tests.policy.fakes import FixedWeights

START = Moment(1_000, 1_800_000_000_000)
POOL = PoolName("engines")


class FakeCapacity:
    """Capacity view with a preset number of free slots; also the tables view."""

    def __init__(self, free: int) -> None:
        self.free = free
        self.frees_slots = True
        self.tables = build_tables()

    def has_free_slot(self, pool: PoolName, now: Moment) -> bool:
        return self.free > 0

    def can_reuse_slot(self, request_id: RequestId, now: Moment) -> bool:
        return self.frees_slots

    def current(self) -> Tables:
        return self.tables


class FakeSlotFilter:
    """Follows the schedule filter; takes a slot or rejects the released request."""

    step = Step.SLOT
    accepts = (RequestReleased, RequestEnded, CapacityRequested, PreemptionRequested)

    def __init__(self, slots: FakeCapacity) -> None:
        self._slots = slots
        self.received_messages: list[Any] = []
        self.accepts_request: Callable[[RoutedRequest], bool] = lambda routed: True
        self.rejection: type[Message] = RequestUnplaced

    def process(self, message: Message, now: Moment) -> Any:
        if isinstance(message, RequestReleased) and not self.accepts_request(
            message.routed
        ):
            yield Feedback(self.rejection(message.routed))  # type: ignore[call-arg]
            return
        if isinstance(message, RequestReleased):
            self._slots.free -= 1
        self.received_messages.append(message)


class ScheduleFilterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.slots = FakeCapacity(free=0)
        self.slot_filter = FakeSlotFilter(self.slots)
        self.estimates = ServiceEstimates()
        self.schedule = ScheduleFilter(
            TieredFair(FixedWeights(), self.estimates),
            self.slots,
            self.slots,
            TableTeams(self.slots),
            self.estimates,
            queue_bound=4,
        )
        self.pipeline = Pipeline([self.schedule, self.slot_filter])
        self.now = START
        self.numbers = 0

    def handle(self, message: Message) -> list[Any]:
        return self.pipeline.handle(message, self.now)

    def admit(self, attempts_started: int = 0, **changes: Any) -> RoutedRequest:
        self.numbers += 1
        routed = build_routed_request(self.now, self.numbers, **changes)
        routed = replace(routed, attempts_started=attempts_started)
        self.effects = self.handle(RequestAdmitted(routed))
        return routed

    def release(self, free: int = 1) -> list[RequestId]:
        self.slots.free = free
        self.slot_filter.received_messages.clear()
        self.handle(CapacityChanged(POOL))
        return self.released_ids()

    def released_ids(self) -> list[RequestId]:
        return [
            message.routed.request_id for message in self.messages_of(RequestReleased)
        ]

    def messages_of(self, message_type: type[Any]) -> list[Any]:
        return [
            message
            for message in self.slot_filter.received_messages
            if isinstance(message, message_type)
        ]

    def refusals(self, effects: list[Any]) -> list[tuple[str, ErrorCode, RunOutcome]]:
        return [
            (effect.request_id, effect.code, effect.outcome)
            for effect in effects
            if isinstance(effect, FailAnswer)
        ]

    def test_unplaced_request_does_not_block_others(self) -> None:
        """Guards against a first request that blocks the queue or loses its position.

        No free slot suits the request, so it is sent back to the scheduler. It
        must not be released again in an endless loop either.
        """
        for rejection in (RequestUnplaced, RequestAdmitted):
            with self.subTest(rejection):
                self.setUp()
                self.slot_filter.rejection = rejection
                first, second, third = (self.admit() for _ in range(3))
                self.slot_filter.accepts_request = (
                    lambda routed, first=first: routed != first
                )
                self.assertEqual(self.release(1), [second.request_id])
                self.slot_filter.accepts_request = lambda routed: True
                self.assertEqual(self.release(2), [first.request_id, third.request_id])

    def test_unplaced_request_can_be_cancelled_and_expires(self) -> None:
        """Guards against requests that never end because no slot suits them."""
        cancelled, expired = self.admit(), self.admit(name="late", deadline_ms=50)
        self.slot_filter.accepts_request = lambda routed: False
        self.release(1)
        self.handle(RequestCancelled(cancelled.request_id))
        self.now = self.now.plus(50)
        effects = self.handle(TimerDue())
        refusal = (expired.request_id, ErrorCode.DEADLINE_PASSED, RunOutcome.NOT_RUN)
        self.assertEqual(self.refusals(effects), [refusal])
        ended = [message.routed for message in self.messages_of(RequestEnded)]
        self.assertEqual(ended, [cancelled, expired])
        self.slot_filter.accepts_request = lambda routed: True
        self.assertEqual(self.release(2), [])

    def test_waiting_requests_end_once_with_the_right_outcome(self) -> None:
        """Guards against reporting "not run" for a request that has been started."""
        tables_without_pool = build_tables(
            2, routes=[], pools=[build_pool("other")], teams=[]
        )
        for attempts_started, outcome in (
            (0, RunOutcome.NOT_RUN),
            (1, RunOutcome.MAY_HAVE_RUN),
        ):
            for cause, code in (
                ("cancel", None),
                ("deadline", ErrorCode.DEADLINE_PASSED),
                ("pool", ErrorCode.NO_RUNNER),
                ("pool before", ErrorCode.NO_RUNNER),
                ("deadline before", ErrorCode.DEADLINE_PASSED),
            ):
                with self.subTest(cause=cause, attempts_started=attempts_started):
                    self.setUp()
                    if cause == "pool before":
                        self.slots.tables = tables_without_pool
                    before_ms = 50 if cause == "deadline before" else 0
                    routed = build_routed_request(START, deadline_ms=50)
                    routed = replace(routed, attempts_started=attempts_started)
                    self.now = START.plus(before_ms)
                    effects = self.handle(RequestAdmitted(routed))
                    if cause == "cancel":
                        effects += self.handle(RequestCancelled(routed.request_id))
                    if cause == "pool":
                        self.slots.tables = tables_without_pool
                        effects += self.handle(TablesInForce(tables_without_pool))
                    self.now = START.plus(50)
                    effects += self.handle(TimerDue())
                    (ended,) = self.messages_of(RequestEnded)
                    self.assertEqual((ended.code, ended.outcome), (code, outcome))
                    refusal = (routed.request_id, code, outcome)
                    expected = [refusal] if code else []
                    self.assertEqual(self.refusals(effects), expected)
                    self.assertEqual(self.release(1), [])

    def test_requests_keep_the_route_with_which_they_arrived(self) -> None:
        """Guards against requests lost when their route is removed from the tables."""
        routed = self.admit(name="old")
        self.slots.tables = build_tables(2)
        self.handle(TablesInForce(self.slots.tables))
        self.assertEqual(self.release(1), [routed.request_id])

    def test_lower_tier_is_shed_first(self) -> None:
        """Guards against refusing a higher tier while a lower one is queued.

        Each class has one reserved place, so the fifth request of the low tier
        is the last one within the bound of 4, and one request of that tier is
        never shed.
        """
        low_requests = [self.admit(name="low", tier=4) for _ in range(5)]
        self.assertEqual(self.refusals(self.effects), [])
        refused_request = self.admit(name="low", tier=4)
        code, outcome = ErrorCode.QUEUE_FULL, RunOutcome.NOT_RUN
        refusal = (refused_request.request_id, code, outcome)
        self.assertEqual(self.refusals(self.effects), [refusal])
        self.admit(name="high", tier=1)
        self.assertEqual(self.refusals(self.effects), [])
        for expected in reversed(low_requests[1:]):
            self.admit(name="high", tier=1)
            (failure,) = [
                effect for effect in self.effects if isinstance(effect, FailAnswer)
            ]
            self.assertEqual(failure.request_id, expected.request_id)
            self.assertIsNotNone(failure.retry_after_ms)
        high_request = self.admit(name="high", tier=1)
        refusal = (high_request.request_id, code, outcome)
        self.assertEqual(self.refusals(self.effects), [refusal])

    def test_requeued_requests_are_never_shed(self) -> None:
        """Guards against shedding a request that has already run in part."""
        for _ in range(8):
            self.admit(attempts_started=1, name="low", tier=4)
            self.assertEqual(self.refusals(self.effects), [])
        for _ in range(9):
            self.admit(name="high", tier=1)
        self.assertEqual(len(self.release(17)), 8 + 5)

    def test_capacity_requests_are_rate_limited(self) -> None:
        for _ in range(3):
            self.admit(tier=2)
        self.assertEqual(
            self.messages_of(CapacityRequested), [CapacityRequested(POOL, 2, 1)]
        )
        self.admit(tier=1, name="higher")
        higher_tier_requests = self.messages_of(CapacityRequested)[1:]
        self.assertEqual(higher_tier_requests, [CapacityRequested(POOL, 1, 4)])
        wake_ms = [effect for effect in self.effects if isinstance(effect, WakeAt)]
        self.assertIn(WakeAt(self.now.monotonic_ms + 200), wake_ms)
        self.now = self.now.plus(200)
        self.handle(TimerDue())
        self.assertEqual(len(self.messages_of(CapacityRequested)), 3)
        self.release(4)
        self.now = self.now.plus(200)
        self.handle(TimerDue())
        self.assertEqual(len(self.messages_of(CapacityRequested)), 0)

    def test_refusal_after_release_ends_the_service(self) -> None:
        """Guards against a share that grows forever for a request that has ended."""
        routed = self.admit()
        self.release(1)
        self.handle(RequestEnded(routed, RunOutcome.NOT_RUN, ErrorCode.NO_RUNNER))
        self.assertEqual(self.schedule._running.count(POOL), 0)
        self.assertEqual(self.schedule._policy._services_by_id, {})

    def start_low(self, **changes: Any) -> RoutedRequest:
        """Release a request of tier 4 and let it run for five seconds."""
        routed = self.admit(**({"name": "low", "tier": 4} | changes))
        self.assertEqual(self.release(1), [routed.request_id])
        self.now = self.now.plus(5_000)
        return routed

    def test_preemption_only_where_allowed_and_needed(self) -> None:
        """Guards against preempting a request that must not or need not be."""
        cases: tuple[tuple[str, dict[str, Any], dict[str, Any], bool], ...] = (
            ("late", {}, {"latency_target_ms": 20}, True),
            ("in time", {}, {"latency_target_ms": 60_000}, False),
            ("equal tier", {}, {"latency_target_ms": 20, "tier": 4}, False),
            ("non-idempotent", {"idempotent": False}, {"latency_target_ms": 20}, False),
        )
        for name, low, high, is_preempted in cases:
            with self.subTest(name):
                self.setUp()
                victim = self.start_low(**low)
                self.slot_filter.received_messages.clear()
                self.admit(**({"name": "high", "tier": 1} | high))
                preemption_requests = self.messages_of(PreemptionRequested)
                expected = [PreemptionRequested(victim.request_id)]
                self.assertEqual(preemption_requests, expected if is_preempted else [])

    def test_no_preemption_if_the_slot_would_not_become_free(self) -> None:
        """Guards against discarding work on a runner that is leaving or cold."""
        self.start_low()
        self.slot_filter.received_messages.clear()
        self.slots.frees_slots = False
        self.admit(name="high", tier=1, latency_target_ms=20)
        self.assertEqual(self.messages_of(PreemptionRequested), [])

    def test_preemption_at_the_latest_start_time(self) -> None:
        """Guards against missing the target if running work exceeds its estimate.

        The high-tier request first waits for the running one, which is expected
        to end in time. It preempts that one at its own latest start time, once.
        """
        victim = self.start_low()
        self.slot_filter.received_messages.clear()
        self.admit(name="high", tier=1, latency_target_ms=1_000)
        self.assertEqual(self.messages_of(PreemptionRequested), [])
        wakes = [
            effect.monotonic_ms for effect in self.effects if isinstance(effect, WakeAt)
        ]
        self.now = self.now.plus(750)
        self.assertIn(self.now.monotonic_ms, wakes)
        self.handle(TimerDue())
        preemption_requests = [PreemptionRequested(victim.request_id)]
        self.assertEqual(self.messages_of(PreemptionRequested), preemption_requests)
        self.now = self.now.plus(10)
        self.handle(TimerDue())
        self.assertEqual(self.messages_of(PreemptionRequested), preemption_requests)

    def test_running_work_is_preempted_before_a_request_is_shed(self) -> None:
        victim = self.start_low()
        for _ in range(5):
            self.admit(name="high", tier=1, latency_target_ms=60_000)
        self.assertEqual(self.messages_of(PreemptionRequested), [])
        self.admit(name="high", tier=1, latency_target_ms=60_000)
        self.assertEqual(self.refusals(self.effects), [])
        preemption_requests = [PreemptionRequested(victim.request_id)]
        self.assertEqual(self.messages_of(PreemptionRequested), preemption_requests)

    def test_victim_with_the_least_discarded_work_is_chosen(self) -> None:
        """Guards against losing minutes of a run that can't be resumed."""
        non_stream = build_routed_request(self.now, 50, name="low", tier=4)
        non_stream = replace(
            non_stream, request=replace(non_stream.request, stream=False)
        )
        self.handle(RequestAdmitted(non_stream))
        self.release(1)
        stream = self.start_low()
        self.admit(name="high", tier=1, latency_target_ms=20)
        preemption_requests = [PreemptionRequested(stream.request_id)]
        self.assertEqual(self.messages_of(PreemptionRequested), preemption_requests)

    def test_expected_wait_counts_no_lower_tier(self) -> None:
        """Guards against refusing a request early because of a lower tier's floor."""
        low: dict[str, Any] = {"name": "low", "tier": 4, "floor_share": 0.5}
        for _ in range(3):
            self.admit(**low)
        self.release(3)
        for _ in range(4):
            self.admit(**low)
        high_request = build_routed_request(self.now, 99, name="high", tier=1)
        self.assertEqual(self.schedule.expected_wait_ms(high_request, self.now), 0)
        another = build_routed_request(self.now, 98, **low)
        self.assertGreater(self.schedule.expected_wait_ms(another, self.now), 1_000)

    def test_learns_from_ended_attempts(self) -> None:
        for _ in range(8):
            routed = self.start_low()
            attempt_id, runner_id = AttemptId("1"), RunnerId("engines-1")
            started_ms = self.now.monotonic_ms - 5_000
            ended = AttemptEnded(attempt_id, runner_id, routed, started_ms, 9, None)
            self.handle(ended)
        low_request = build_routed_request(self.now, 98, name="low", tier=4)
        self.assertAlmostEqual(
            self.estimates.run_ms(low_request, self.now), 5_000, delta=900
        )
