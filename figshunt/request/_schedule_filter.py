"""Holds admitted requests until a slot is free for the next one."""

from collections.abc import Iterable

from figshunt.control import TablesView
from figshunt.pipeline import Feedback, Output
from figshunt.policy import SchedulingPolicy
from figshunt.request._refusal import refuse
from figshunt.slots import CapacityView
from figshunt.types import (
    AttemptEnded,
    CapacityChanged,
    ErrorCode,
    Message,
    Moment,
    PoolName,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestReleased,
    RunnerChanged,
    RunOutcome,
    Step,
    TimerDue,
    WakeAt,
)


class ScheduleFilter:
    """Owns the queues; releases requests in the order that the policy gives."""

    step = Step.SCHEDULE
    accepts: tuple[type[Message], ...] = (
        RequestAdmitted,
        RequestCancelled,
        AttemptEnded,
        CapacityChanged,
        RunnerChanged,
        TimerDue,
    )

    def __init__(
        self, policy: SchedulingPolicy, capacity: CapacityView, tables: TablesView
    ) -> None:
        self._policy = policy
        self._capacity = capacity
        self._tables = tables

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestAdmitted(routed):
                self._policy.enqueue(routed, now)
                yield WakeAt(routed.deadline_ms)
                yield from self._release(routed.pool, now)
            case RequestCancelled(request_id):
                removed = self._policy.remove(request_id, now)
                if removed is None:
                    yield message
                else:
                    yield Feedback(RequestEnded(removed, RunOutcome.NOT_RUN, None))
            case CapacityChanged(pool):
                yield from self._release(pool, now)
            case RunnerChanged(_, pool):
                yield message
                yield from self._release(pool, now)
            case AttemptEnded():
                slot_ms = now.monotonic_ms - message.started_ms
                self._policy.record_service(message.routed, slot_ms, now)
                yield message
            case TimerDue():
                yield message
                yield from self._expire(now)

    def _release(self, pool: PoolName, now: Moment) -> Iterable[Output]:
        while self._capacity.has_slot(pool, now):
            routed = self._policy.choose(pool, now)
            if routed is None:
                return
            yield RequestReleased(routed)

    def _expire(self, now: Moment) -> Iterable[Output]:
        for routed in self._policy.expire(now):
            yield from refuse(
                routed,
                ErrorCode.DEADLINE_PASSED,
                self.step,
                "the deadline passed while the request was queued",
                outcome=(
                    RunOutcome.NOT_RUN if routed.tries == 0 else RunOutcome.MAY_HAVE_RUN
                ),
            )
