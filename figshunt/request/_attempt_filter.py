"""Tracks attempts and forwards the runners' responses to the callers."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from figshunt.control import TablesView
from figshunt.pipeline import Feedback, Output
from figshunt.policy import RetryBudget
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptEnded,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    AttemptId,
    AttemptPlanned,
    AttemptsChecked,
    CancelAttempt,
    CancelReason,
    CountEvent,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    Message,
    Moment,
    OpenRequestsChecked,
    PoolKind,
    PreemptionRequested,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestId,
    RoutedRequest,
    RunnerId,
    RunOutcome,
    SendAnswer,
    SendState,
    StartAnswer,
    StartAttempt,
    Step,
    TimerDue,
    WakeAt,
)

MAX_ATTEMPTS = 4


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt in flight.

    ``delivered_tokens`` counts the tokens sent to the caller over all attempts
    of the request. ``sent_head`` is the head of the answer that the caller has
    received, from this attempt or an earlier one.
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    routed: RoutedRequest
    started_ms: int
    lease_ends_ms: int
    sent_head: AnswerHead | None
    delivered_tokens: int
    bytes_received: int = 0
    first_token_ms: int | None = None

    @property
    def head_sent(self) -> bool:
        """Return whether the caller has received the head of the answer."""
        return self.sent_head is not None


class AttemptFilter:
    """Keeps the attempts in flight and forwards their data to the callers.

    A caller receives only the answer to its own request, complete and in
    order, or an error. Messages about an attempt that is no longer in flight
    are dropped and counted. Once tokens of an answer have been sent, the
    request can only be resumed after them; it is never started again.
    """

    step = Step.ATTEMPT
    accepts: tuple[type[Message], ...] = (
        AttemptPlanned,
        AnswerHead,
        AttemptChunk,
        AttemptFinished,
        AttemptFailed,
        PreemptionRequested,
        RequestCancelled,
        RequestEnded,
        TimerDue,
        OpenRequestsChecked,
    )

    def __init__(self, tables: TablesView, retry_budget: RetryBudget) -> None:
        self._tables = tables
        self._retry_budget = retry_budget
        self._attempts_by_id: dict[AttemptId, Attempt] = {}
        self._attempt_ids_by_request: dict[RequestId, AttemptId] = {}
        self._sent_heads_by_request: dict[RequestId, AnswerHead] = {}

    def owns(self, request_id: RequestId) -> bool:
        """Return whether an attempt of a request is in flight."""
        return request_id in self._attempt_ids_by_request

    def request_of(self, attempt_id: AttemptId) -> RequestId | None:
        """Return the request of an attempt, if that is in flight."""
        attempt = self._attempts_by_id.get(attempt_id)
        return attempt.routed.request_id if attempt else None

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case AttemptPlanned():
                yield from self._start_attempt(message, now)
            case AnswerHead():
                yield from self._forward_head(message, now)
            case AttemptChunk():
                yield from self._forward_chunk(message, now)
            case AttemptFinished():
                yield from self._finish_attempt(message, now)
            case AttemptFailed():
                yield from self._fail_attempt(message, now)
            case PreemptionRequested(request_id):
                yield from self._preempt_attempt(request_id)
            case RequestCancelled(request_id):
                yield from self._cancel_attempt(request_id, now)
            case RequestEnded(routed):
                yield message
                self._sent_heads_by_request.pop(routed.request_id, None)
            case TimerDue():
                yield from self._expire_attempts(now)
            case OpenRequestsChecked(open_ids):
                yield from self._drop_closed(open_ids)

    def _start_attempt(self, planned: AttemptPlanned, now: Moment) -> Iterable[Output]:
        tables = self._tables.current()
        assert tables is not None
        routed = replace(
            planned.routed, attempts_started=planned.routed.attempts_started + 1
        )
        (
            self._retry_budget.record_first_attempt(now)
            if routed.attempts_started == 1
            else None
        )
        attempt = Attempt(
            attempt_id=planned.attempt_id,
            runner_id=planned.runner_id,
            routed=routed,
            started_ms=now.monotonic_ms,
            lease_ends_ms=planned.lease_ends_ms,
            sent_head=self._sent_heads_by_request.get(routed.request_id),
            delivered_tokens=routed.resume_offset,
        )
        yield WakeAt(planned.lease_ends_ms)
        start = StartAttempt(
            attempt_id=planned.attempt_id,
            runner_id=planned.runner_id,
            url=tables.runners_by_id[planned.runner_id].url,
            request=routed.request,
            resume_offset=routed.resume_offset,
            priority=routed.tier,
            timeout_ms=planned.lease_ends_ms - now.monotonic_ms,
        )
        # No error can come between the record and the start.
        self._attempts_by_id[planned.attempt_id] = attempt
        self._attempt_ids_by_request[routed.request_id] = planned.attempt_id
        yield start

    def _forward_head(self, head: AnswerHead, now: Moment) -> Iterable[Output]:
        attempt = self._attempts_by_id.get(head.attempt_id)
        if attempt is None:
            yield self._count_dropped("head")
            return
        if attempt.sent_head is None:
            self._attempts_by_id[head.attempt_id] = replace(attempt, sent_head=head)
            self._sent_heads_by_request[attempt.routed.request_id] = head
            yield StartAnswer(attempt.routed.request_id, head.status, head.content_type)
        elif not head.continues(attempt.sent_head):
            # The body would become a part of the answer that was started.
            detail = (
                f"runner answered {head.status} {head.content_type} to a request for"
                " the rest of a stream"
            )
            yield from self._fail_protocol_violation(attempt, detail, now)

    def _forward_chunk(self, chunk: AttemptChunk, now: Moment) -> Iterable[Output]:
        attempt = self._attempts_by_id.get(chunk.attempt_id)
        if attempt is None:
            yield self._count_dropped("chunk")
            return
        if chunk.tokens and chunk.offset < attempt.delivered_tokens:
            yield self._count_dropped("duplicate")
            return
        if not attempt.head_sent or (
            chunk.tokens and chunk.offset > attempt.delivered_tokens
        ):
            detail = (
                f"received chunk at token offset {chunk.offset}, expected the answer "
                f"head and then offset {attempt.delivered_tokens}"
            )
            yield from self._fail_protocol_violation(attempt, detail, now)
            return
        self._attempts_by_id[chunk.attempt_id] = replace(
            attempt,
            delivered_tokens=attempt.delivered_tokens + chunk.tokens,
            bytes_received=attempt.bytes_received + len(chunk.data),
            first_token_ms=(
                attempt.first_token_ms
                if attempt.first_token_ms is not None
                else now.monotonic_ms
            ),
        )
        yield SendAnswer(attempt.routed.request_id, chunk.data)

    def _finish_attempt(
        self, finished: AttemptFinished, now: Moment
    ) -> Iterable[Output]:
        attempt = self._attempts_by_id.get(finished.attempt_id)
        if attempt is None:
            yield self._count_dropped("end")
            return
        if not attempt.head_sent or finished.tokens != attempt.delivered_tokens:
            detail = (
                f"runner reported {finished.tokens} tokens at the end, expected the "
                f"answer head and {attempt.delivered_tokens} tokens"
            )
            yield from self._fail_protocol_violation(attempt, detail, now)
            return
        self._remove_attempt(finished.attempt_id)
        yield EndAnswer(attempt.routed.request_id)
        yield from self._end_attempt(attempt, None)
        yield from self._end_request(attempt, RunOutcome.RAN, None, now)

    def _fail_protocol_violation(
        self, attempt: Attempt, detail: str, now: Moment
    ) -> Iterable[Output]:
        yield CancelAttempt(attempt.attempt_id, CancelReason.PROTOCOL)
        yield from self._fail_attempt(
            AttemptFailed(
                attempt.attempt_id,
                AttemptFailure.PROTOCOL,
                SendState.MAY_HAVE_ARRIVED,
                detail,
            ),
            now,
        )

    def _fail_attempt(self, failed: AttemptFailed, now: Moment) -> Iterable[Output]:
        attempt = self._remove_attempt(failed.attempt_id)
        if attempt is None:
            yield self._count_dropped("failure")
            return
        yield from self._end_attempt(attempt, failed.failure)
        if self._can_retry(attempt, failed, now):
            yield CountEvent("retries", {"failure": failed.failure.value})
            yield Feedback(RequestAdmitted(_with_progress(attempt)))
            return
        outcome = (
            RunOutcome.NOT_RUN
            if failed.sent is SendState.UNSENT and attempt.routed.attempts_started == 1
            else RunOutcome.MAY_HAVE_RUN
        )
        code = ErrorCode.STREAM_BROKEN if attempt.head_sent else ErrorCode.RUNNER_FAILED
        yield FailAnswer(
            attempt.routed.request_id,
            code,
            self.step,
            outcome,
            f"{failed.failure.value}: {failed.detail}",
            peer=attempt.runner_id,
            retry_after_ms=failed.retry_after_ms,
        )
        yield from self._end_request(attempt, outcome, code, now)

    def _can_retry(self, attempt: Attempt, failed: AttemptFailed, now: Moment) -> bool:
        routed = attempt.routed
        counted_attempts = routed.attempts_started - routed.preemptions
        if routed.deadline_ms <= now.monotonic_ms or counted_attempts >= MAX_ATTEMPTS:
            return False
        if not routed.route.idempotent and failed.sent is not SendState.UNSENT:
            return False
        if attempt.head_sent and not self._can_resume(attempt):
            return False
        return self._retry_budget.try_consume_retry(now)

    def _preempt_attempt(self, request_id: RequestId) -> Iterable[Output]:
        """Suspend an attempt for a higher tier, without using the retry budget.

        An attempt that can't be repeated or resumed goes on.
        """
        attempt_id = self._attempt_ids_by_request.get(request_id)
        attempt = self._attempts_by_id.get(attempt_id) if attempt_id else None
        if attempt is None or not attempt.routed.route.idempotent:
            return
        if attempt.head_sent and not self._can_resume(attempt):
            return
        self._remove_attempt(attempt.attempt_id)
        yield CancelAttempt(attempt.attempt_id, CancelReason.PREEMPTED)
        yield from self._end_attempt(attempt, AttemptFailure.PREEMPTED)
        resumed_request = _with_progress(attempt)
        yield Feedback(
            RequestAdmitted(
                replace(resumed_request, preemptions=resumed_request.preemptions + 1)
            )
        )

    def _can_resume(self, attempt: Attempt) -> bool:
        tables = self._tables.current()
        assert tables is not None
        pool = tables.pools_by_name.get(attempt.routed.pool)
        return (
            pool is not None
            and pool.kind is PoolKind.ENGINE
            and attempt.routed.request.stream
            and attempt.sent_head is not None
            and attempt.sent_head.is_event_stream
        )

    def _cancel_attempt(self, request_id: RequestId, now: Moment) -> Iterable[Output]:
        attempt_id = self._attempt_ids_by_request.get(request_id)
        attempt = self._remove_attempt(attempt_id) if attempt_id else None
        if attempt is None:
            return
        yield CancelAttempt(attempt.attempt_id, CancelReason.CALLER_GONE)
        yield from self._end_attempt(attempt, AttemptFailure.CANCELLED)
        yield from self._end_request(attempt, RunOutcome.MAY_HAVE_RUN, None, now)

    def _expire_attempts(self, now: Moment) -> Iterable[Output]:
        expired_attempts = [
            attempt
            for attempt in self._attempts_by_id.values()
            if attempt.lease_ends_ms <= now.monotonic_ms
        ]
        for attempt in expired_attempts:
            yield CancelAttempt(attempt.attempt_id, CancelReason.DEADLINE)
            # A message of its own, so that an error at one leaves the others.
            yield Feedback(
                AttemptFailed(
                    attempt.attempt_id,
                    AttemptFailure.TIMED_OUT,
                    SendState.MAY_HAVE_ARRIVED,
                    "the attempt did not finish within its time limit",
                )
            )

    def _drop_closed(self, open_ids: frozenset[RequestId]) -> Iterable[Output]:
        """End the attempts of requests that are no longer open."""
        for attempt in tuple(self._attempts_by_id.values()):
            if attempt.routed.request_id not in open_ids:
                self._remove_attempt(attempt.attempt_id)
                yield CancelAttempt(attempt.attempt_id, CancelReason.INTERNAL)
                yield from self._end_attempt(attempt, AttemptFailure.CANCELLED)
        yield Feedback(AttemptsChecked(frozenset(self._attempts_by_id)))

    def _remove_attempt(self, attempt_id: AttemptId) -> Attempt | None:
        attempt = self._attempts_by_id.pop(attempt_id, None)
        if attempt is not None:
            self._attempt_ids_by_request.pop(attempt.routed.request_id, None)
        return attempt

    def _end_attempt(
        self, attempt: Attempt, failure: AttemptFailure | None
    ) -> Iterable[Output]:
        yield Feedback(
            AttemptEnded(
                attempt_id=attempt.attempt_id,
                runner_id=attempt.runner_id,
                routed=attempt.routed,
                started_ms=attempt.started_ms,
                tokens=attempt.delivered_tokens - attempt.routed.resume_offset,
                failure=failure,
                first_token_ms=(
                    attempt.first_token_ms - attempt.started_ms
                    if attempt.first_token_ms is not None
                    else None
                ),
            )
        )

    def _end_request(
        self,
        attempt: Attempt,
        outcome: RunOutcome,
        code: ErrorCode | None,
        now: Moment,
    ) -> Iterable[Output]:
        routed = _with_progress(attempt)
        arrived_ms = routed.request.arrived.monotonic_ms
        is_complete = outcome is RunOutcome.RAN and code is None
        yield Feedback(
            RequestEnded(
                attempt.routed,
                outcome,
                code,
                first_token_ms=(
                    routed.first_token_ms - arrived_ms
                    if routed.first_token_ms is not None
                    else None
                ),
                completion_ms=now.monotonic_ms - arrived_ms,
                tokens=attempt.delivered_tokens,
                wasted_tokens=0 if is_complete else attempt.delivered_tokens,
            )
        )

    def _count_dropped(self, part: str) -> CountEvent:
        return CountEvent("late_parts_dropped", {"part": part})


def _with_progress(attempt: Attempt) -> RoutedRequest:
    """Return the attempt's request, updated with the progress of the attempt."""
    routed = attempt.routed
    first_token_ms = routed.first_token_ms
    if first_token_ms is None:
        first_token_ms = attempt.first_token_ms
    return replace(
        routed, resume_offset=attempt.delivered_tokens, first_token_ms=first_token_ms
    )
