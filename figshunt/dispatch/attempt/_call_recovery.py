"""The rules by which the core of an entry host recovers from an error."""

from figshunt.dispatch._effects import (
    AnswerAbort,
    AnswerComplete,
    AnswerEnd,
    AnswerError,
    AnswerStart,
    CancelCallAttempt,
    StartCallAttempt,
)
from figshunt.dispatch._messages import (
    CallAbandoned,
    CallArrived,
    CallAttemptDue,
    CallAttemptFailed,
    GraceEnded,
    OpenCallsChecked,
    ReplyComplete,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
)
from figshunt.dispatch.admission._refusal import STATUS_BY_CODE
from figshunt.dispatch.attempt._call_attempt_filter import CallAttemptFilter
from figshunt.dispatch.placement._placement_filter import PlacementFilter
from figshunt.types import (
    AttemptFailure,
    AttemptId,
    CancelReason,
    Effect,
    ErrorCode,
    Message,
    RequestId,
    SendState,
)


class CallRecovery:
    """A call is owned while it is held for a runner or has an attempt in flight."""

    tracked_types: frozenset[type] = frozenset(
        {
            CallArrived,
            CallAbandoned,
            AnswerStart,
            AnswerComplete,
            AnswerEnd,
            AnswerAbort,
            AnswerError,
        }
    )

    def __init__(self, placement: PlacementFilter, attempts: CallAttemptFilter) -> None:
        self._placement = placement
        self._attempts = attempts

    def opened_by(self, message: Message) -> RequestId | None:
        """Return the call that a message opens."""
        return message.call.call_id if isinstance(message, CallArrived) else None

    def closed_by(self, output: Message | Effect) -> RequestId | None:
        """Return the call that needs no further answer after a message or effect."""
        match output:
            case (
                CallAbandoned(call_id)
                | AnswerComplete(call_id)
                | AnswerEnd(call_id)
                | AnswerAbort(call_id)
                | AnswerError(call_id)
            ):
                return call_id
        return None

    def started_by(self, effect: Effect) -> RequestId | None:
        """Return the call whose answer an effect starts."""
        return effect.call_id if isinstance(effect, AnswerStart) else None

    def attempt_of(self, message: Message) -> AttemptId | None:
        """Return the attempt that a message reports on."""
        match message:
            case (
                ReplyComplete(attempt_id)
                | ReplyStarted(attempt_id)
                | ReplyEvent(attempt_id)
                | ReplyEnded(attempt_id)
                | CallAttemptFailed(attempt_id)
                | CallAttemptDue(attempt_id)
            ):
                return attempt_id
        return None

    def attempt_started_by(self, effect: Effect) -> AttemptId | None:
        """Return the attempt that an effect starts."""
        return effect.attempt_id if isinstance(effect, StartCallAttempt) else None

    def request_of(self, attempt_id: AttemptId) -> RequestId | None:
        """Return the call of an attempt, if that is in flight."""
        return self._attempts.call_of(attempt_id)

    def is_owned(self, request_id: RequestId) -> bool:
        """Return whether a call is held or has an attempt in flight."""
        return self._placement.holds(request_id) or self._attempts.sends(request_id)

    def ends_all(self, message: Message) -> bool:
        """Return whether a message ends all calls."""
        return isinstance(message, GraceEnded)

    def cancel_attempt(self, attempt_id: AttemptId) -> Effect:
        """Return the effect that cancels an attempt."""
        return CancelCallAttempt(attempt_id, CancelReason.INTERNAL)

    def fail_attempt(self, attempt_id: AttemptId) -> Message:
        """Return the message that an attempt failed, without blaming its runner."""
        return CallAttemptFailed(
            attempt_id,
            AttemptFailure.CANCELLED,
            SendState.MAY_HAVE_ARRIVED,
            "unexpected error at this host",
        )

    def fail_request(self, request_id: RequestId, has_started: bool) -> Effect:
        """Return the effect that ends the answer of a call that may have run."""
        if has_started:
            return AnswerAbort(request_id)
        code = ErrorCode.INTERNAL
        return AnswerError(request_id, code, STATUS_BY_CODE[code])

    def check_owners(self, open_ids: frozenset[RequestId]) -> Message:
        """Return the message after which filters own open calls only."""
        return OpenCallsChecked(open_ids)
