"""The rules by which the core of a daemon recovers from an error."""

from collections.abc import Sequence
from typing import Protocol

from figshunt.request import AttemptFilter
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    AttemptId,
    CancelAttempt,
    CancelReason,
    Effect,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    Message,
    OpenRequestsChecked,
    RequestArrived,
    RequestCancelled,
    RequestId,
    RunOutcome,
    SendState,
    StartAnswer,
    StartAttempt,
    Step,
)


class RequestOwner(Protocol):
    """A filter in which requests wait or are in flight."""

    def owns(self, request_id: RequestId) -> bool:
        """Return whether the filter will let a request go on or end it."""


class RequestRecovery:
    """A request is owned while a filter lets it wait or has its attempt in flight."""

    tracked_types: frozenset[type] = frozenset(
        {RequestArrived, RequestCancelled, StartAnswer, EndAnswer, FailAnswer}
    )

    def __init__(
        self, attempts: AttemptFilter, other_owners: Sequence[RequestOwner]
    ) -> None:
        self._attempts = attempts
        self._owners: tuple[RequestOwner, ...] = (attempts, *other_owners)

    def opened_by(self, message: Message) -> RequestId | None:
        """Return the request that a message opens."""
        if isinstance(message, RequestArrived):
            return message.request.request_id
        return None

    def closed_by(self, output: Message | Effect) -> RequestId | None:
        """Return the request that needs no further answer after a message or effect.

        A cancelled request that repeats can wait for is owned until it has run.
        """
        match output:
            case EndAnswer(request_id) | FailAnswer(request_id):
                return request_id
            case RequestCancelled(request_id) if not self.is_owned(request_id):
                return request_id
        return None

    def started_by(self, effect: Effect) -> RequestId | None:
        """Return the request whose answer an effect starts."""
        return effect.request_id if isinstance(effect, StartAnswer) else None

    def attempt_of(self, message: Message) -> AttemptId | None:
        """Return the attempt that a message reports on."""
        match message:
            case (
                AnswerHead(attempt_id)
                | AttemptChunk(attempt_id)
                | AttemptFinished(attempt_id)
                | AttemptFailed(attempt_id)
            ):
                return attempt_id
        return None

    def attempt_started_by(self, effect: Effect) -> AttemptId | None:
        """Return the attempt that an effect starts."""
        return effect.attempt_id if isinstance(effect, StartAttempt) else None

    def request_of(self, attempt_id: AttemptId) -> RequestId | None:
        """Return the request of an attempt, if that is in flight."""
        return self._attempts.request_of(attempt_id)

    def is_owned(self, request_id: RequestId) -> bool:
        """Return whether a filter owns a request."""
        return any(owner.owns(request_id) for owner in self._owners)

    def ends_all(self, message: Message) -> bool:
        """Return whether a message ends all requests."""
        return False

    def cancel_attempt(self, attempt_id: AttemptId) -> Effect:
        """Return the effect that cancels an attempt."""
        return CancelAttempt(attempt_id, CancelReason.INTERNAL)

    def fail_attempt(self, attempt_id: AttemptId) -> Message:
        """Return the message that an attempt failed, without blaming its runner."""
        return AttemptFailed(
            attempt_id,
            AttemptFailure.CANCELLED,
            SendState.MAY_HAVE_ARRIVED,
            "unexpected error at this host",
        )

    def fail_request(self, request_id: RequestId, has_started: bool) -> Effect:
        """Return the effect that ends the answer of a request that may have run."""
        return FailAnswer(
            request_id,
            ErrorCode.INTERNAL,
            Step.DAEMON,
            RunOutcome.MAY_HAVE_RUN,
            "internal error",
        )

    def check_owners(self, open_ids: frozenset[RequestId]) -> Message:
        """Return the message after which filters own open requests only."""
        return OpenRequestsChecked(open_ids)
