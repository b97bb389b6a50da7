"""Tracks the attempts in flight and forwards the answers of runners to callers."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Protocol

from figshunt.directory import Repeatability, RunnerLeaving
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._effects import (
    AnswerAbort,
    AnswerComplete,
    AnswerEnd,
    AnswerEvent,
    AnswerStart,
    CancelCallAttempt,
    StartCallAttempt,
)
from figshunt.dispatch._messages import (
    CallAbandoned,
    CallAdmitted,
    CallAttemptDue,
    CallAttemptEnded,
    CallAttemptFailed,
    CallAttemptPlanned,
    CallAttemptResult,
    CallAttemptsChecked,
    CallEnded,
    FirstEventSeen,
    GraceEnded,
    OpenCallsChecked,
    PeerStatusReceived,
    RepeatNotice,
    ReplyComplete,
    ReplyEnded,
    ReplyEvent,
    ReplyHead,
    ReplyStarted,
    ReplyVerdict,
    RunnerLimitSeen,
    RunnerLoadSeen,
)
from figshunt.dispatch.admission._refusal import refuse_call
from figshunt.dispatch.attempt._call_attempt import CallAttempt
from figshunt.dispatch.attempt._event_order import (
    EventVerdict,
    StreamNumberings,
    judge_event,
)
from figshunt.dispatch.attempt._retry_policy import RetryPolicy
from figshunt.dispatch.attempt._shared_budget import SharedRetryBudget
from figshunt.pipeline import Feedback, Output
from figshunt.types import (
    AttemptFailure,
    AttemptId,
    CancelReason,
    CountEvent,
    ErrorCode,
    LogEvent,
    Message,
    Moment,
    ObserveDuration,
    RequestId,
    RunnerId,
    RunOutcome,
    SendState,
    Step,
    TimerDue,
    WakeAt,
)

RETRY_AFTER_MS = 300

RESULT_BY_FAILURE = {
    AttemptFailure.REFUSED: CallAttemptResult.UNREACHABLE,
    AttemptFailure.CONNECTION_LOST: CallAttemptResult.LOST,
    AttemptFailure.PROTOCOL: CallAttemptResult.INVALID_ANSWER,
    AttemptFailure.TIMED_OUT: CallAttemptResult.STALLED,
    AttemptFailure.OVERLOADED: CallAttemptResult.REFUSED,
    AttemptFailure.CANCELLED: CallAttemptResult.ABANDONED,
}

# A runner that answers with this status may say for how long it wants no requests.
PAUSE_STATUS = 503

REFUSAL_VERDICTS = frozenset({ReplyVerdict.REFUSED, ReplyVerdict.WRONG_RUNNER})


class OtherRunnersView(Protocol):
    """Read access to the runners that could take over a request."""

    def has_other_runner(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a runner that has not had the request may be used."""

    def is_limited(self, runner_id: RunnerId) -> bool:
        """Return whether a runner is known to name a limit."""


class CallAttemptFilter:
    """Owns the attempts in flight.

    Each caller gets exactly one answer, and only the answer to its own request.
    Messages about an attempt that is no longer in flight are dropped. A request
    that may have run is sent again only if its route allows it.
    """

    step = Step.ATTEMPT
    accepts: tuple[type[Message], ...] = (
        CallAttemptPlanned,
        ReplyComplete,
        ReplyStarted,
        ReplyEvent,
        ReplyEnded,
        CallAttemptFailed,
        CallAbandoned,
        GraceEnded,
        TimerDue,
        CallAttemptDue,
        OpenCallsChecked,
        PeerStatusReceived,
    )

    def __init__(
        self,
        other_runners: OtherRunnersView,
        retry_budget: SharedRetryBudget,
    ) -> None:
        self._other_runners = other_runners
        self._retry_budget = retry_budget
        self._retry_policy = RetryPolicy(retry_budget)
        self._numberings = StreamNumberings()
        self._attempts: dict[AttemptId, CallAttempt] = {}
        self._attempt_ids_by_call: dict[RequestId, AttemptId] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._attempts)

    def repeat_notices(self, now: Moment) -> tuple[RepeatNotice, ...]:
        """Return what each status of this host tells of its retries."""
        return self._retry_budget.notices(now)

    def call_of(self, attempt_id: AttemptId) -> RequestId | None:
        """Return the call of an attempt, if that is in flight."""
        attempt = self._attempts.get(attempt_id)
        return attempt.routed.call_id if attempt else None

    def sends(self, call_id: RequestId) -> bool:
        """Return whether a call has an attempt in flight."""
        return call_id in self._attempt_ids_by_call

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case CallAttemptPlanned():
                yield from self._start_attempt(message, now)
            case ReplyComplete():
                yield from self._handle_complete_reply(message, now)
            case ReplyStarted():
                yield from self._start_answer(message, now)
            case ReplyEvent():
                yield from self._handle_event(message, now)
            case ReplyEnded(attempt_id):
                yield from self._end_stream(attempt_id, now)
            case CallAttemptFailed():
                yield from self._handle_failure(message, now)
            case CallAbandoned(call_id):
                yield from self._cancel_abandoned(call_id)
            case GraceEnded():
                yield from self._end_all()
            case TimerDue():
                yield from self._check_time_limits(now)
                yield from self._retry_budget.report_denied(now)
            case CallAttemptDue(attempt_id):
                yield from self._end_due_attempt(attempt_id, now)
            case OpenCallsChecked(open_ids):
                yield from self._drop_closed(open_ids)
            case PeerStatusReceived(status):
                self._retry_budget.record_status(status, now)

    def _start_attempt(self, plan: CallAttemptPlanned, now: Moment) -> Iterable[Output]:
        routed = plan.routed.with_attempt(plan.runner.runner_id)
        attempt = CallAttempt(
            attempt_id=plan.attempt_id,
            runner=plan.runner,
            routed=routed,
            started_ms=now.monotonic_ms,
            expected_first_ms=plan.expected_first_ms,
            last_received_ms=now.monotonic_ms,
        )
        if len(routed.tried_runner_ids) == 1:
            self._retry_policy.record_first_attempt(routed.pool, now)
        resume_after = routed.last_event_id
        if resume_after is None:
            resume_after = routed.call.resume_after
        yield WakeAt(min(routed.deadline_ms, attempt.stall_ms))
        yield LogEvent(
            "call_sent",
            self.step,
            {
                "request": routed.call_id,
                "runner": plan.runner.runner_id,
                "route": routed.route.name,
                "team": routed.team,
                "priority": routed.priority,
                "known_streams": plan.known_streams,
                "choice": plan.choice.value,
                "read_tokens": plan.prefill_tokens,
                "expected_first_ms": plan.expected_first_ms,
                "fetch_from": plan.fetch_from,
                "tried": len(routed.tried_runner_ids),
            },
        )
        start = StartCallAttempt(
            attempt_id=plan.attempt_id,
            runner_id=plan.runner.runner_id,
            address=plan.runner.address,
            call=routed.call,
            team=routed.team,
            time_limit_ms=max(1, routed.deadline_ms - now.monotonic_ms),
            priority=routed.priority,
            resume_after=resume_after,
            fetch_from=plan.fetch_from,
        )
        # No error can come between the record and the start.
        self._attempts[plan.attempt_id] = attempt
        self._attempt_ids_by_call[routed.call_id] = plan.attempt_id
        yield start

    def _handle_complete_reply(
        self, reply: ReplyComplete, now: Moment
    ) -> Iterable[Output]:
        attempt = self._attempts.get(reply.attempt_id)
        if attempt is None:
            return
        head = reply.head
        attempt.is_delimited = head.is_delimited
        yield from self._report_leaving(attempt, head)
        yield from self._report_limit(attempt, head)
        yield from self._report_load(attempt, head)
        is_refusal = head.verdict in REFUSAL_VERDICTS
        if is_refusal and head.matches_request:
            yield from self._handle_refusal(attempt, head, now)
        elif not _is_own_answer(head):
            # A refusal of an earlier request says nothing about this one.
            detail = (
                f"answer with status {head.status} has no receipt, belongs to"
                " another request, or refuses without saying that nothing ran"
            )
            yield from self._retry_or_fail(
                attempt,
                CallAttemptResult.INVALID_ANSWER,
                detail,
                now,
                _pause_ms(head) if head.matches_request else 0,
            )
        elif head.verdict is ReplyVerdict.FAILED and self._retry_policy.may_retry(
            attempt.routed, now
        ):
            detail = f"runner answered with status {head.status}"
            yield from self._end_attempt(
                attempt, CallAttemptResult.RUNNER_ERROR, detail
            )
            yield from self._retry(attempt.routed, now)
        elif attempt.routed.answer_started:
            yield from self._retry_or_fail(
                attempt,
                CallAttemptResult.INVALID_ANSWER,
                "expected a stream in answer to a resume request,"
                f" got a complete answer with status {head.status}",
                now,
            )
        else:
            has_failed = head.verdict is ReplyVerdict.FAILED
            result = (
                CallAttemptResult.RUNNER_ERROR
                if has_failed
                else CallAttemptResult.SERVED
            )
            yield AnswerComplete(attempt.routed.call_id, head, reply.body)
            yield from self._complete(attempt, result, f"status {head.status}", now)

    def _report_leaving(
        self, attempt: CallAttempt, head: ReplyHead
    ) -> Iterable[Output]:
        """Report that the runner is leaving if it says so in an answer of its own.

        Another process at its address says nothing about it.
        """
        is_own = head.matches_request and head.verdict is not ReplyVerdict.WRONG_RUNNER
        if head.announces_leaving and is_own:
            runner = attempt.runner
            yield Feedback(RunnerLeaving(runner.runner_id, runner.started_wall_ms))

    def _report_limit(self, attempt: CallAttempt, head: ReplyHead) -> Iterable[Output]:
        """Report the limit that the runner names, or that it names none any more."""
        runner = attempt.runner
        is_own = head.matches_request and head.verdict is not ReplyVerdict.WRONG_RUNNER
        if head.names_limit:
            has_news = is_own and head.limit_per_s is not None
        else:
            # Only the runner itself can lift its limit.
            has_proof = head.has_receipt or head.verdict is ReplyVerdict.REFUSED
            is_limited = self._other_runners.is_limited(runner.runner_id)
            has_news = is_own and has_proof and is_limited
        if has_news:
            yield Feedback(
                RunnerLimitSeen(
                    runner.runner_id,
                    runner.started_wall_ms,
                    head.limit_per_s,
                    attempt.started_ms,
                )
            )

    def _report_load(self, attempt: CallAttempt, head: ReplyHead) -> Iterable[Output]:
        """Report the load that the runner states in an answer of its own."""
        is_own = head.matches_request and head.verdict is not ReplyVerdict.WRONG_RUNNER
        if head.load is not None and is_own:
            runner = attempt.runner
            yield Feedback(
                RunnerLoadSeen(runner.runner_id, runner.started_wall_ms, head.load)
            )

    def _handle_refusal(
        self, attempt: CallAttempt, head: ReplyHead, now: Moment
    ) -> Iterable[Output]:
        """Handle an answer which states that the request did not run."""
        is_wrong_runner = head.verdict is ReplyVerdict.WRONG_RUNNER
        routed = attempt.routed.without_run()
        yield from self._end_attempt(
            attempt,
            CallAttemptResult.REFUSED,
            f"status {head.status}",
            is_wrong_runner,
            0 if is_wrong_runner else _pause_ms(head),
        )
        # A request that may have run already is not kept waiting.
        if not is_wrong_runner and not routed.possible_runs:
            if self._retry_policy.may_requeue(routed, now):
                kept = routed.as_requeued(attempt.runner.runner_id)
                yield Feedback(CallAdmitted(kept))
                return
        elif self._retry_policy.may_reassign(routed, now):
            yield from self._retry(routed, now)
            return
        yield from self._fail_call(
            routed,
            ErrorCode.NO_RUNNER,
            head.retry_after_ms,
            f"runner refused the request with status {head.status};"
            " no further retry is allowed",
        )

    def _start_answer(self, reply: ReplyStarted, now: Moment) -> Iterable[Output]:
        attempt = self._attempts.get(reply.attempt_id)
        if attempt is None:
            return
        head = reply.head
        yield from self._report_leaving(attempt, head)
        yield from self._report_limit(attempt, head)
        yield from self._report_load(attempt, head)
        if not _is_own_answer(head):
            detail = (
                f"stream with status {head.status} has no receipt or belongs to"
                " another request"
            )
            yield CancelCallAttempt(attempt.attempt_id, CancelReason.PROTOCOL)
            yield from self._retry_or_fail(
                attempt, CallAttemptResult.INVALID_ANSWER, detail, now
            )
            return
        attempt.last_received_ms = now.monotonic_ms
        attempt.is_delimited = head.is_delimited
        if not attempt.routed.answer_started:
            attempt.routed = replace(attempt.routed, answer_started=True)
            yield AnswerStart(attempt.routed.call_id, head)

    def _handle_event(self, event: ReplyEvent, now: Moment) -> Iterable[Output]:
        """Forward an event, hold it, or end the attempt if its place is wrong."""
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None:
            return
        if event.is_comment:
            # A runner can send comments while it makes no progress.
            yield AnswerEvent(attempt.routed.call_id, event.data)
            return
        if attempt.routed.route.repeatability is not Repeatability.RESUMABLE:
            if self._has_wrong_id(event, attempt.routed):
                yield from self._reject_event(attempt, event, now)
            else:
                yield from self._forward_event(attempt, event, now)
            return
        numbering = self._numberings.get(attempt.routed.pool)
        held_event = attempt.held_event
        if held_event is not None:
            verdict = judge_event(event, attempt.routed, held_event, numbering)
            if verdict is EventVerdict.INVALID:
                yield from self._reject_event(attempt, event, now)
                return
            attempt.held_event = None
            yield from self._forward_event(attempt, held_event, now)
        match judge_event(event, attempt.routed, None, numbering):
            case EventVerdict.EXPECTED:
                yield from self._forward_event(attempt, event, now)
            case EventVerdict.HELD:
                attempt.held_event = event
            case EventVerdict.INVALID:
                yield from self._reject_event(attempt, event, now)

    def _has_wrong_id(self, event: ReplyEvent, routed: RoutedCall) -> bool:
        """Return whether an event can't follow in a stream that can't be resumed."""
        return event.event_id is not None and not routed.may_follow(event.event_id)

    def _reject_event(
        self, attempt: CallAttempt, event: ReplyEvent, now: Moment
    ) -> Iterable[Output]:
        """End an attempt whose events are not in order, or lack an id or data.

        What the caller has so far is in order, so the stream can go on after that.
        """
        routed = attempt.routed
        self._numberings.record_deviation(
            routed.pool, attempt.runner.runner_id, now.monotonic_ms
        )
        held_event = attempt.held_event
        detail = (
            f"got event id {event.event_id} after {routed.last_event_id}"
            if held_event is None
            else f"got event ids {held_event.event_id} and {event.event_id}"
            f" after {routed.last_event_id}"
        )
        yield CancelCallAttempt(attempt.attempt_id, CancelReason.PROTOCOL)
        yield from self._retry_or_fail(
            attempt, CallAttemptResult.INVALID_ANSWER, detail, now
        )

    def _forward_event(
        self, attempt: CallAttempt, event: ReplyEvent, now: Moment
    ) -> Iterable[Output]:
        routed = attempt.routed
        if event.event_id is not None:
            routed_after = routed.with_event(event.event_id)
            if attempt.first_event_id is None:
                attempt.first_event_id = event.event_id
        else:
            routed_after = replace(routed, has_unnumbered_events=True)
        if event.event_id is None or not event.has_data:
            attempt.has_regular_events = False
        if not attempt.has_first_event:
            attempt.has_first_event = True
            waited_ms = now.monotonic_ms - attempt.started_ms
            attempt.first_ms = waited_ms
            yield Feedback(
                FirstEventSeen(
                    attempt.attempt_id,
                    attempt.runner.runner_id,
                    waited_ms,
                    attempt.expected_first_ms,
                )
            )
            yield ObserveDuration(
                "latency",
                {"route": routed.route.name},
                now.monotonic_ms - routed.call.received.monotonic_ms,
            )
        else:
            gap_ms = now.monotonic_ms - attempt.last_received_ms
            attempt.longest_gap_ms = max(attempt.longest_gap_ms, gap_ms)
        attempt.last_received_ms = now.monotonic_ms
        attempt.events += 1
        answer_event = AnswerEvent(routed.call_id, event.data)
        # No error can come between the record of an event and the event.
        attempt.routed = routed_after
        yield answer_event

    def _end_stream(self, attempt_id: AttemptId, now: Moment) -> Iterable[Output]:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        held_event = attempt.held_event
        if held_event is not None:
            # A complete stream has no further event that could confirm this one.
            attempt.held_event = None
            yield from self._forward_event(attempt, held_event, now)
        if not attempt.is_delimited and not attempt.has_first_event:
            # Neither a length nor an event shows that the answer is complete.
            detail = "connection ended before the first event"
            yield from self._retry_or_fail(attempt, CallAttemptResult.LOST, detail, now)
            return
        self._learn_numbering(attempt, now)
        yield AnswerEnd(attempt.routed.call_id)
        yield from self._complete(
            attempt, CallAttemptResult.SERVED, "stream ended", now
        )

    def _learn_numbering(self, attempt: CallAttempt, now: Moment) -> None:
        """Learn how a pool's runners number their events from a complete stream."""
        routed = attempt.routed
        first_id = attempt.first_event_id
        is_whole_run = routed.possible_runs == 1 and routed.call.resume_after is None
        is_regular = attempt.has_regular_events and routed.has_consecutive_ids
        if is_whole_run and is_regular and first_id is not None:
            self._numberings.record_complete(
                routed.pool, attempt.runner.runner_id, first_id, now.monotonic_ms
            )

    def _handle_failure(
        self, failure: CallAttemptFailed, now: Moment
    ) -> Iterable[Output]:
        attempt = self._attempts.get(failure.attempt_id)
        if attempt is None:
            return
        result = RESULT_BY_FAILURE[failure.failure]
        if failure.sent is SendState.UNSENT:
            routed = attempt.routed.without_run()
            yield from self._end_attempt(attempt, result, failure.detail)
            if self._retry_policy.may_reassign(routed, now):
                yield from self._retry(routed, now)
            else:
                yield from self._fail_call(
                    routed, ErrorCode.NO_RUNNER, None, failure.detail
                )
            return
        yield from self._retry_or_fail(attempt, result, failure.detail, now)

    def _retry_or_fail(
        self,
        attempt: CallAttempt,
        result: CallAttemptResult,
        detail: str,
        now: Moment,
        pause_ms: int = 0,
    ) -> Iterable[Output]:
        """Retry a request that may have run, or fail its call."""
        may_retry = self._retry_policy.may_retry(attempt.routed, now)
        yield from self._end_attempt(attempt, result, detail, pause_ms=pause_ms)
        if may_retry:
            yield from self._retry(attempt.routed, now)
        else:
            yield from self._fail_call(
                attempt.routed, ErrorCode.RUNNER_FAILED, None, detail
            )

    def _fail_call(
        self,
        routed: RoutedCall,
        code: ErrorCode,
        retry_after_ms: int | None,
        detail: str,
    ) -> Iterable[Output]:
        if routed.answer_started:
            yield AnswerAbort(routed.call_id)
            fields = {"request": routed.call_id, "detail": detail}
            yield LogEvent("answer_broken", self.step, fields)
        else:
            did_not_run = routed.possible_runs == 0
            if not did_not_run and code is ErrorCode.NO_RUNNER:
                code = ErrorCode.RUNNER_FAILED
            yield from refuse_call(
                routed.call_id,
                code,
                self.step,
                RunOutcome.NOT_RUN if did_not_run else RunOutcome.MAY_HAVE_RUN,
                retry_after_ms=(
                    (retry_after_ms or RETRY_AFTER_MS) if did_not_run else None
                ),
                detail=detail,
                tried=len(routed.tried_runner_ids),
            )
        yield Feedback(CallEnded(routed))

    def _retry(self, routed: RoutedCall, now: Moment) -> Iterable[Output]:
        yield CountEvent("repeats", {"route": routed.route.name})
        yield Feedback(CallAdmitted(routed))

    def _cancel_abandoned(self, call_id: RequestId) -> Iterable[Output]:
        attempt_id = self._attempt_ids_by_call.get(call_id)
        attempt = self._attempts.get(attempt_id) if attempt_id else None
        if attempt is None:
            return
        yield CancelCallAttempt(attempt.attempt_id, CancelReason.CALLER_GONE)
        yield from self._end_attempt(
            attempt, CallAttemptResult.ABANDONED, "caller closed the connection"
        )
        yield Feedback(CallEnded(attempt.routed))

    def _end_all(self) -> Iterable[Output]:
        """Cancel all attempts and answer their calls, which may have run."""
        detail = "host stops at the end of its grace period"
        for attempt in tuple(self._attempts.values()):
            yield CancelCallAttempt(attempt.attempt_id, CancelReason.SHUTDOWN)
            yield from self._end_attempt(attempt, CallAttemptResult.ABANDONED, detail)
            yield from self._fail_call(
                attempt.routed, ErrorCode.RUNNER_FAILED, None, detail
            )

    def _check_time_limits(self, now: Moment) -> Iterable[Output]:
        """Have each due attempt ended by a message of its own, as it may fail."""
        for attempt in self._attempts.values():
            if min(attempt.routed.deadline_ms, attempt.stall_ms) <= now.monotonic_ms:
                yield Feedback(CallAttemptDue(attempt.attempt_id))

    def _end_due_attempt(self, attempt_id: AttemptId, now: Moment) -> Iterable[Output]:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        if attempt.routed.deadline_ms <= now.monotonic_ms:
            yield CancelCallAttempt(attempt.attempt_id, CancelReason.DEADLINE)
            yield from self._end_attempt(
                attempt, CallAttemptResult.STALLED, "deadline passed"
            )
            yield from self._fail_call(
                attempt.routed, ErrorCode.DEADLINE_PASSED, None, "deadline passed"
            )
        else:
            yield from self._retry_stalled(attempt, now)

    def _drop_closed(self, open_ids: frozenset[RequestId]) -> Iterable[Output]:
        """Drop the attempts of calls that are no longer open."""
        for attempt in tuple(self._attempts.values()):
            if attempt.routed.call_id not in open_ids:
                del self._attempts[attempt.attempt_id]
                self._attempt_ids_by_call.pop(attempt.routed.call_id, None)
                yield CancelCallAttempt(attempt.attempt_id, CancelReason.INTERNAL)
        yield Feedback(CallAttemptsChecked(frozenset(self._attempts)))

    def _retry_stalled(self, attempt: CallAttempt, now: Moment) -> Iterable[Output]:
        """Send a stalled request to another runner if that is possible and allowed."""
        has_other_runner = self._other_runners.has_other_runner(attempt.routed, now)
        if has_other_runner and self._retry_policy.may_retry(attempt.routed, now):
            yield CancelCallAttempt(attempt.attempt_id, CancelReason.DEADLINE)
            yield from self._end_attempt(
                attempt,
                CallAttemptResult.STALLED,
                "no data from the runner before the stall limit",
            )
            yield from self._retry(attempt.routed, now)
        else:
            yield WakeAt(attempt.routed.deadline_ms)

    def _complete(
        self, attempt: CallAttempt, result: CallAttemptResult, detail: str, now: Moment
    ) -> Iterable[Output]:
        routed = attempt.routed
        yield from self._end_attempt(attempt, result, detail)
        if not attempt.has_first_event:
            yield ObserveDuration(
                "latency",
                {"route": routed.route.name},
                now.monotonic_ms - routed.call.received.monotonic_ms,
            )
        yield CountEvent("answers", {"route": routed.route.name})
        yield Feedback(CallEnded(routed))

    def _end_attempt(
        self,
        attempt: CallAttempt,
        result: CallAttemptResult,
        detail: str,
        is_wrong_runner: bool = False,
        pause_ms: int = 0,
    ) -> Iterable[Output]:
        self._attempts.pop(attempt.attempt_id, None)
        self._attempt_ids_by_call.pop(attempt.routed.call_id, None)
        yield LogEvent(
            "send_ended",
            self.step,
            {
                "request": attempt.routed.call_id,
                "runner": attempt.runner.runner_id,
                "route": attempt.routed.route.name,
                "result": result.value,
                "detail": detail,
                "first_ms": attempt.first_ms,
                "longest_gap_ms": attempt.longest_gap_ms,
            },
        )
        yield Feedback(
            CallAttemptEnded(
                attempt.attempt_id,
                attempt.runner.runner_id,
                attempt.routed,
                result,
                attempt.started_ms,
                attempt.last_received_ms,
                is_wrong_runner,
                pause_ms,
                attempt.is_delimited,
                attempt.first_ms,
                attempt.events,
            )
        )


def _pause_ms(head: ReplyHead) -> int:
    """Return for how long the runner asks to be left alone, in ms."""
    if head.status != PAUSE_STATUS:
        return 0
    return max(0, head.retry_after_ms or 0)


def _is_own_answer(head: ReplyHead) -> bool:
    """Return whether the head starts an answer of the runner to this request."""
    return (
        head.has_receipt
        and head.matches_request
        and head.verdict in (ReplyVerdict.ANSWERED, ReplyVerdict.FAILED)
    )
