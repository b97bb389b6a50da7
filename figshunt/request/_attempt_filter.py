"""Follows attempts and turns what runners send into the caller's answer."""

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
    CancelAttempt,
    CancelReason,
    CountEvent,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    Message,
    Moment,
    PoolKind,
    PreemptionWanted,
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

MOST_TRIES = 4


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt in flight.

    ``delivered`` counts the tokens that the caller has received over all
    attempts of the request; ``head_sent`` tells whether the answer began.
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    routed: RoutedRequest
    started_ms: int
    lease_ends_ms: int
    head_sent: bool
    delivered: int
    bytes_received: int = 0
    first_token_ms: int | None = None


class AttemptFilter:
    """Owns attempts in flight; each caller gets only its own whole answer.

    Messages about an attempt that is no longer in flight are dropped and
    counted. Once a token was delivered, the request goes on only from that
    offset, never with a fresh run.
    """

    step = Step.ATTEMPT
    accepts: tuple[type[Message], ...] = (
        AttemptPlanned,
        AnswerHead,
        AttemptChunk,
        AttemptFinished,
        AttemptFailed,
        PreemptionWanted,
        RequestCancelled,
        RequestEnded,
        TimerDue,
    )

    def __init__(self, tables: TablesView, retry_budget: RetryBudget) -> None:
        self._tables = tables
        self._retry_budget = retry_budget
        self._attempts_by_id: dict[AttemptId, Attempt] = {}
        self._attempt_ids_by_request: dict[RequestId, AttemptId] = {}
        self._head_sent: set[RequestId] = set()

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case AttemptPlanned():
                yield from self._start(message, now)
            case AnswerHead():
                yield from self._forward_head(message)
            case AttemptChunk():
                yield from self._forward_chunk(message, now)
            case AttemptFinished():
                yield from self._finish(message, now)
            case AttemptFailed():
                yield from self._fail(message, now)
            case PreemptionWanted(request_id):
                yield from self._preempt(request_id)
            case RequestCancelled(request_id):
                yield from self._cancel(request_id, now)
            case RequestEnded(routed):
                yield message
                self._head_sent.discard(routed.request_id)
            case TimerDue():
                yield from self._expire(now)

    def _start(self, planned: AttemptPlanned, now: Moment) -> Iterable[Output]:
        tables = self._tables.current()
        assert tables is not None
        routed = replace(planned.routed, tries=planned.routed.tries + 1)
        self._retry_budget.record_first_try(now) if routed.tries == 1 else None
        self._attempts_by_id[planned.attempt_id] = Attempt(
            attempt_id=planned.attempt_id,
            runner_id=planned.runner_id,
            routed=routed,
            started_ms=now.monotonic_ms,
            lease_ends_ms=planned.lease_ends_ms,
            head_sent=routed.request_id in self._head_sent,
            delivered=routed.resume_offset,
        )
        self._attempt_ids_by_request[routed.request_id] = planned.attempt_id
        yield WakeAt(planned.lease_ends_ms)
        yield StartAttempt(
            attempt_id=planned.attempt_id,
            runner_id=planned.runner_id,
            url=tables.runners_by_id[planned.runner_id].url,
            request=routed.request,
            resume_offset=routed.resume_offset,
            priority=routed.tier,
            timeout_ms=planned.lease_ends_ms - now.monotonic_ms,
        )

    def _forward_head(self, head: AnswerHead) -> Iterable[Output]:
        attempt = self._attempts_by_id.get(head.attempt_id)
        if attempt is None:
            yield self._count_late("head")
            return
        if attempt.head_sent:
            return
        self._attempts_by_id[head.attempt_id] = replace(attempt, head_sent=True)
        self._head_sent.add(attempt.routed.request_id)
        yield StartAnswer(attempt.routed.request_id, head.status, head.content_type)

    def _forward_chunk(self, chunk: AttemptChunk, now: Moment) -> Iterable[Output]:
        attempt = self._attempts_by_id.get(chunk.attempt_id)
        if attempt is None:
            yield self._count_late("chunk")
            return
        if chunk.tokens and chunk.offset < attempt.delivered:
            yield self._count_late("duplicate")
            return
        if not attempt.head_sent or (chunk.tokens and chunk.offset > attempt.delivered):
            detail = f"part at offset {chunk.offset}, expected {attempt.delivered}"
            yield from self._break_protocol(attempt, detail, now)
            return
        self._attempts_by_id[chunk.attempt_id] = replace(
            attempt,
            delivered=attempt.delivered + chunk.tokens,
            bytes_received=attempt.bytes_received + len(chunk.data),
            first_token_ms=(
                attempt.first_token_ms
                if attempt.first_token_ms is not None
                else now.monotonic_ms
            ),
        )
        yield SendAnswer(attempt.routed.request_id, chunk.data)

    def _finish(self, finished: AttemptFinished, now: Moment) -> Iterable[Output]:
        attempt = self._attempts_by_id.get(finished.attempt_id)
        if attempt is None:
            yield self._count_late("end")
            return
        if not attempt.head_sent or finished.tokens != attempt.delivered:
            detail = f"end at {finished.tokens} tokens, received {attempt.delivered}"
            yield from self._break_protocol(attempt, detail, now)
            return
        self._remove(finished.attempt_id)
        yield EndAnswer(attempt.routed.request_id)
        yield from self._end_attempt(attempt, None)
        yield from self._end_request(attempt, RunOutcome.RAN, None, now)

    def _break_protocol(
        self, attempt: Attempt, detail: str, now: Moment
    ) -> Iterable[Output]:
        yield CancelAttempt(attempt.attempt_id, CancelReason.PROTOCOL)
        yield from self._fail(
            AttemptFailed(
                attempt.attempt_id,
                AttemptFailure.PROTOCOL,
                SendState.MAY_HAVE_ARRIVED,
                detail,
            ),
            now,
        )

    def _fail(self, failed: AttemptFailed, now: Moment) -> Iterable[Output]:
        attempt = self._remove(failed.attempt_id)
        if attempt is None:
            yield self._count_late("failure")
            return
        yield from self._end_attempt(attempt, failed.failure)
        if self._may_try_again(attempt, failed, now):
            yield CountEvent("retries", {"failure": failed.failure.value})
            yield Feedback(RequestAdmitted(_resumed(attempt)))
            return
        outcome = (
            RunOutcome.NOT_RUN
            if failed.sent is SendState.UNSENT and attempt.routed.tries == 1
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

    def _may_try_again(
        self, attempt: Attempt, failed: AttemptFailed, now: Moment
    ) -> bool:
        routed = attempt.routed
        tries = routed.tries - routed.preemptions
        if routed.deadline_ms <= now.monotonic_ms or tries >= MOST_TRIES:
            return False
        if not routed.route.idempotent and failed.sent is not SendState.UNSENT:
            return False
        if attempt.head_sent and not self._can_resume(attempt):
            return False
        return self._retry_budget.take_retry(now)

    def _preempt(self, request_id: RequestId) -> Iterable[Output]:
        """Suspend an attempt for a higher tier; no part of the retry budget."""
        attempt_id = self._attempt_ids_by_request.get(request_id)
        attempt = self._attempts_by_id.get(attempt_id) if attempt_id else None
        if attempt is None or not attempt.routed.route.idempotent:
            return
        if attempt.head_sent and not self._can_resume(attempt):
            return
        self._remove(attempt.attempt_id)
        yield CancelAttempt(attempt.attempt_id, CancelReason.PREEMPTED)
        yield from self._end_attempt(attempt, AttemptFailure.PREEMPTED)
        resumed = _resumed(attempt)
        yield Feedback(
            RequestAdmitted(replace(resumed, preemptions=resumed.preemptions + 1))
        )

    def _can_resume(self, attempt: Attempt) -> bool:
        tables = self._tables.current()
        assert tables is not None
        pool = tables.pools_by_name.get(attempt.routed.pool)
        return (
            pool is not None
            and pool.kind is PoolKind.ENGINE
            and attempt.routed.request.stream
        )

    def _cancel(self, request_id: RequestId, now: Moment) -> Iterable[Output]:
        attempt_id = self._attempt_ids_by_request.get(request_id)
        attempt = self._remove(attempt_id) if attempt_id else None
        if attempt is None:
            return
        yield CancelAttempt(attempt.attempt_id, CancelReason.CALLER_GONE)
        yield from self._end_attempt(attempt, AttemptFailure.CANCELLED)
        yield from self._end_request(attempt, RunOutcome.MAY_HAVE_RUN, None, now)

    def _expire(self, now: Moment) -> Iterable[Output]:
        expired = [
            attempt
            for attempt in self._attempts_by_id.values()
            if attempt.lease_ends_ms <= now.monotonic_ms
        ]
        for attempt in expired:
            yield CancelAttempt(attempt.attempt_id, CancelReason.DEADLINE)
            yield from self._fail(
                AttemptFailed(
                    attempt.attempt_id,
                    AttemptFailure.TIMED_OUT,
                    SendState.MAY_HAVE_ARRIVED,
                    "the attempt took longer than it may",
                ),
                now,
            )

    def _remove(self, attempt_id: AttemptId) -> Attempt | None:
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
                tokens=attempt.delivered - attempt.routed.resume_offset,
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
        routed = _resumed(attempt)
        arrived_ms = routed.request.arrived.monotonic_ms
        is_whole = outcome is RunOutcome.RAN and code is None
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
                whole_ms=now.monotonic_ms - arrived_ms,
                tokens=attempt.delivered,
                wasted_tokens=0 if is_whole else attempt.delivered,
            )
        )

    def _count_late(self, part: str) -> CountEvent:
        return CountEvent("late_parts_dropped", {"part": part})


def _resumed(attempt: Attempt) -> RoutedRequest:
    """Return the request as it goes on after the attempt."""
    routed = attempt.routed
    first_token_ms = routed.first_token_ms
    if first_token_ms is None:
        first_token_ms = attempt.first_token_ms
    return replace(
        routed, resume_offset=attempt.delivered, first_token_ms=first_token_ms
    )
