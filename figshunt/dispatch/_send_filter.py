"""Follows sends and turns what runners answer into the caller's answer."""

from collections.abc import Iterable
from dataclasses import replace

from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._cold_limit import SharedBounds
from figshunt.dispatch._effects import (
    AnswerBegin,
    AnswerBreak,
    AnswerEnd,
    AnswerEvent,
    AnswerWhole,
    CancelSend,
    SendCall,
)
from figshunt.dispatch._messages import (
    CallAbandoned,
    CallAdmitted,
    CallEnded,
    FirstEventSeen,
    ReplyEnded,
    ReplyEvent,
    ReplyHead,
    ReplyStarted,
    ReplyVerdict,
    ReplyWhole,
    SendEnded,
    SendFailed,
    SendPlanned,
    SendResult,
)
from figshunt.dispatch._peer_filter import PeersView
from figshunt.dispatch._refusal import refuse_call
from figshunt.dispatch._repeat_policy import RepeatPolicy
from figshunt.dispatch._send import Send
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
    RunOutcome,
    SendState,
    Step,
    TimerDue,
    WakeAt,
)

RETRY_AFTER_MS = 300

RESULT_BY_FAILURE = {
    AttemptFailure.REFUSED: SendResult.UNREACHABLE,
    AttemptFailure.CONNECTION_LOST: SendResult.LOST,
    AttemptFailure.PROTOCOL: SendResult.SPOILED,
    AttemptFailure.TIMED_OUT: SendResult.STALLED,
    AttemptFailure.OVERLOADED: SendResult.REFUSED,
    AttemptFailure.CANCELLED: SendResult.ABANDONED,
}


class SendFilter:
    """Owns the sends in flight; each caller gets its own whole answer once.

    Messages about a send that is no longer in flight are dropped. A request
    that may have run is sent again only if its route allows that.
    """

    step = Step.ATTEMPT
    accepts: tuple[type[Message], ...] = (
        SendPlanned,
        ReplyWhole,
        ReplyStarted,
        ReplyEvent,
        ReplyEnded,
        SendFailed,
        CallAbandoned,
        TimerDue,
    )

    def __init__(self, peers: PeersView, bounds: SharedBounds) -> None:
        self._repeats = RepeatPolicy(peers, bounds)
        self._sends: dict[AttemptId, Send] = {}
        self._attempts_by_call: dict[RequestId, AttemptId] = {}

    @property
    def in_flight(self) -> int:
        """Return how many sends are in flight."""
        return len(self._sends)

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case SendPlanned():
                yield from self._start(message, now)
            case ReplyWhole():
                yield from self._judge(message, now)
            case ReplyStarted():
                yield from self._begin(message, now)
            case ReplyEvent():
                yield from self._relay(message, now)
            case ReplyEnded(attempt_id):
                yield from self._end(attempt_id, now)
            case SendFailed():
                yield from self._fail(message, now)
            case CallAbandoned(call_id):
                yield from self._abandon(call_id)
            case TimerDue():
                yield from self._check_times(now)

    def _start(self, planned: SendPlanned, now: Moment) -> Iterable[Output]:
        routed = planned.routed.sent_to(planned.runner.runner_id)
        send = Send(
            attempt_id=planned.attempt_id,
            runner=planned.runner,
            routed=routed,
            started_ms=now.monotonic_ms,
            expected_first_ms=planned.expected_first_ms,
            last_heard_ms=now.monotonic_ms,
        )
        self._sends[planned.attempt_id] = send
        self._attempts_by_call[routed.call_id] = planned.attempt_id
        if len(routed.tried) == 1:
            self._repeats.record_first(routed.pool, now)
        resume_after = routed.delivered
        if resume_after is None:
            resume_after = routed.call.resume_after
        yield WakeAt(min(routed.deadline_ms, send.stall_ms))
        yield LogEvent(
            "call_sent",
            self.step,
            {
                "request": routed.call_id,
                "runner": planned.runner.runner_id,
                "route": routed.route.name,
                "read_tokens": planned.read_tokens,
                "expected_first_ms": planned.expected_first_ms,
                "fetch_from": planned.fetch_from,
                "tried": len(routed.tried),
            },
        )
        yield SendCall(
            attempt_id=planned.attempt_id,
            runner_id=planned.runner.runner_id,
            address=planned.runner.address,
            call=routed.call,
            team=routed.team,
            patience_ms=max(1, routed.deadline_ms - now.monotonic_ms),
            priority=routed.urgency,
            resume_after=resume_after,
            fetch_from=planned.fetch_from,
        )

    def _judge(self, reply: ReplyWhole, now: Moment) -> Iterable[Output]:
        send = self._sends.get(reply.attempt_id)
        if send is None:
            return
        head = reply.head
        if head.verdict is ReplyVerdict.REFUSED:
            yield from self._refused(send, head, now)
        elif head.verdict is ReplyVerdict.WRONG_RUNNER:
            yield from self._refused(send, head, now)
        elif not head.has_receipt or not head.is_ours:
            detail = f"answer {head.status} without receipt or of another request"
            yield from self._lose(send, SendResult.SPOILED, detail, now)
        elif head.verdict is ReplyVerdict.FAILED and self._repeats.may_repeat(
            send.routed, now
        ):
            detail = f"runner answered {head.status}"
            yield from self._end_send(send, SendResult.RUNNER_ERROR, detail)
            yield from self._send_again(send.routed, now)
        elif send.routed.answering:
            yield from self._lose(
                send, SendResult.SPOILED, f"answer {head.status} to a resume", now
            )
        else:
            failed = head.verdict is ReplyVerdict.FAILED
            result = SendResult.RUNNER_ERROR if failed else SendResult.SERVED
            yield AnswerWhole(send.routed.call_id, head, reply.body)
            yield from self._finish(send, result, f"status {head.status}", now)

    def _refused(self, send: Send, head: ReplyHead, now: Moment) -> Iterable[Output]:
        """Handle an answer that says that the runner did not run the request."""
        routed = replace(
            send.routed, sends=send.routed.sends - 1, refusals=send.routed.refusals + 1
        )
        is_wrong = head.verdict is ReplyVerdict.WRONG_RUNNER
        yield from self._end_send(
            send, SendResult.REFUSED, f"status {head.status}", is_wrong
        )
        if self._repeats.may_offer(routed, now):
            yield from self._send_again(routed, now)
            return
        yield from self._give_up(
            routed, ErrorCode.NO_RUNNER, head.retry_after_ms, "refused by runners"
        )

    def _begin(self, reply: ReplyStarted, now: Moment) -> Iterable[Output]:
        send = self._sends.get(reply.attempt_id)
        if send is None:
            return
        head = reply.head
        if not head.has_receipt or not head.is_ours:
            detail = "stream without receipt or of another request"
            yield CancelSend(send.attempt_id, CancelReason.PROTOCOL)
            yield from self._lose(send, SendResult.SPOILED, detail, now)
            return
        send.last_heard_ms = now.monotonic_ms
        if not send.routed.answering:
            send.routed = replace(send.routed, answering=True)
            yield AnswerBegin(send.routed.call_id, head)

    def _relay(self, event: ReplyEvent, now: Moment) -> Iterable[Output]:
        send = self._sends.get(event.attempt_id)
        if send is None:
            return
        routed = send.routed
        if event.event_id is not None:
            if routed.delivered is not None and event.event_id <= routed.delivered:
                detail = f"event {event.event_id} after {routed.delivered}"
                yield CancelSend(send.attempt_id, CancelReason.PROTOCOL)
                yield from self._lose(send, SendResult.SPOILED, detail, now)
                return
            send.routed = replace(routed, delivered=event.event_id)
        if not send.has_begun:
            send.has_begun = True
            waited_ms = now.monotonic_ms - send.started_ms
            send.first_ms = waited_ms
            yield Feedback(
                FirstEventSeen(
                    send.attempt_id,
                    send.runner.runner_id,
                    waited_ms,
                    send.expected_first_ms,
                )
            )
            yield ObserveDuration(
                "latency",
                {"route": routed.route.name},
                now.monotonic_ms - routed.call.received.monotonic_ms,
            )
        else:
            gap_ms = now.monotonic_ms - send.last_heard_ms
            send.longest_gap_ms = max(send.longest_gap_ms, gap_ms)
        send.last_heard_ms = now.monotonic_ms
        yield AnswerEvent(routed.call_id, event.data)

    def _end(self, attempt_id: AttemptId, now: Moment) -> Iterable[Output]:
        send = self._sends.get(attempt_id)
        if send is None:
            return
        yield AnswerEnd(send.routed.call_id)
        yield from self._finish(send, SendResult.SERVED, "stream ended", now)

    def _fail(self, failed: SendFailed, now: Moment) -> Iterable[Output]:
        send = self._sends.get(failed.attempt_id)
        if send is None:
            return
        result = RESULT_BY_FAILURE[failed.failure]
        if failed.sent is SendState.UNSENT:
            routed = replace(
                send.routed,
                sends=send.routed.sends - 1,
                refusals=send.routed.refusals + 1,
            )
            yield from self._end_send(send, result, failed.detail)
            if self._repeats.may_offer(routed, now):
                yield from self._send_again(routed, now)
            else:
                yield from self._give_up(
                    routed, ErrorCode.NO_RUNNER, None, failed.detail
                )
            return
        yield from self._lose(send, result, failed.detail, now)

    def _lose(
        self, send: Send, result: SendResult, detail: str, now: Moment
    ) -> Iterable[Output]:
        """Handle a send after which the request may have run."""
        again = self._repeats.may_repeat(send.routed, now)
        yield from self._end_send(send, result, detail)
        if again:
            yield from self._send_again(send.routed, now)
        else:
            yield from self._give_up(send.routed, ErrorCode.RUNNER_FAILED, None, detail)

    def _give_up(
        self,
        routed: RoutedCall,
        code: ErrorCode,
        retry_after_ms: int | None,
        detail: str,
    ) -> Iterable[Output]:
        if routed.answering:
            yield AnswerBreak(routed.call_id)
            fields = {"request": routed.call_id, "detail": detail}
            yield LogEvent("answer_broken", self.step, fields)
        else:
            not_run = routed.sends == 0
            if not not_run and code is ErrorCode.NO_RUNNER:
                code = ErrorCode.RUNNER_FAILED
            yield from refuse_call(
                routed.call_id,
                code,
                self.step,
                RunOutcome.NOT_RUN if not_run else RunOutcome.MAY_HAVE_RUN,
                retry_after_ms=(retry_after_ms or RETRY_AFTER_MS) if not_run else None,
                detail=detail,
                tried=len(routed.tried),
            )
        yield Feedback(CallEnded(routed))

    def _send_again(self, routed: RoutedCall, now: Moment) -> Iterable[Output]:
        yield CountEvent("repeats", {"route": routed.route.name})
        yield Feedback(CallAdmitted(routed))

    def _abandon(self, call_id: RequestId) -> Iterable[Output]:
        attempt_id = self._attempts_by_call.get(call_id)
        send = self._sends.get(attempt_id) if attempt_id else None
        if send is None:
            return
        yield CancelSend(send.attempt_id, CancelReason.CALLER_GONE)
        yield from self._end_send(send, SendResult.ABANDONED, "caller left")
        yield Feedback(CallEnded(send.routed))

    def _check_times(self, now: Moment) -> Iterable[Output]:
        for send in tuple(self._sends.values()):
            if send.routed.deadline_ms <= now.monotonic_ms:
                yield CancelSend(send.attempt_id, CancelReason.DEADLINE)
                yield from self._end_send(send, SendResult.STALLED, "deadline passed")
                yield from self._give_up(
                    send.routed, ErrorCode.DEADLINE_PASSED, None, "deadline passed"
                )
            elif send.stall_ms <= now.monotonic_ms:
                yield from self._check_stall(send, now)

    def _check_stall(self, send: Send, now: Moment) -> Iterable[Output]:
        """Try a silent runner's request elsewhere if that is allowed."""
        if self._repeats.may_repeat(send.routed, now):
            yield CancelSend(send.attempt_id, CancelReason.DEADLINE)
            yield from self._end_send(send, SendResult.STALLED, "runner is silent")
            yield from self._send_again(send.routed, now)
        else:
            yield WakeAt(send.routed.deadline_ms)

    def _finish(
        self, send: Send, result: SendResult, detail: str, now: Moment
    ) -> Iterable[Output]:
        routed = send.routed
        yield from self._end_send(send, result, detail)
        if not send.has_begun:
            yield ObserveDuration(
                "latency",
                {"route": routed.route.name},
                now.monotonic_ms - routed.call.received.monotonic_ms,
            )
        yield CountEvent("answers", {"route": routed.route.name})
        yield Feedback(CallEnded(routed))

    def _end_send(
        self,
        send: Send,
        result: SendResult,
        detail: str,
        is_wrong_runner: bool = False,
    ) -> Iterable[Output]:
        self._sends.pop(send.attempt_id, None)
        self._attempts_by_call.pop(send.routed.call_id, None)
        yield LogEvent(
            "send_ended",
            self.step,
            {
                "request": send.routed.call_id,
                "runner": send.runner.runner_id,
                "route": send.routed.route.name,
                "result": result.value,
                "detail": detail,
                "first_ms": send.first_ms,
                "longest_gap_ms": send.longest_gap_ms,
            },
        )
        yield Feedback(
            SendEnded(
                send.attempt_id,
                send.runner.runner_id,
                send.routed,
                result,
                send.last_heard_ms,
                is_wrong_runner,
            )
        )
