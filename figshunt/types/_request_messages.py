"""Messages about requests and attempts, in the order of processing."""

from dataclasses import dataclass, field
from typing import ClassVar

from figshunt.types._errors import ErrorCode
from figshunt.types._identifiers import (
    AttemptId,
    PoolName,
    RequestId,
    RunnerId,
    TeamName,
    Tier,
)
from figshunt.types._message import Message
from figshunt.types._request import Request, RoutedRequest
from figshunt.types._states import AttemptFailure, RunOutcome, SendState

EVENT_STREAM_TYPE = "text/event-stream"


@dataclass(frozen=True, slots=True)
class RequestArrived(Message):
    """A caller sent a request; ``team`` is filled in by the team filter."""

    request: Request
    team: TeamName | None = None


@dataclass(frozen=True, slots=True)
class RequestRouted(Message):
    """A request received its team, route and deadline but isn't admitted yet."""

    routed: RoutedRequest


@dataclass(frozen=True, slots=True)
class RequestAdmitted(Message):
    """A request passed every check and may be queued for a slot."""

    routed: RoutedRequest


@dataclass(frozen=True, slots=True)
class RequestReleased(Message):
    """The scheduler selected this request as the next one to get a slot."""

    routed: RoutedRequest


@dataclass(frozen=True, slots=True)
class AttemptPlanned(Message):
    """A request got a slot of a runner; the attempt is about to start.

    The attempt must have ended by ``lease_ends_ms`` (monotonic).
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    routed: RoutedRequest
    lease_ends_ms: int


@dataclass(frozen=True, slots=True)
class RequestCancelled(Message):
    """The caller disconnected or cancelled the request."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerHead(Message):
    """A runner sent the status line and headers of its answer."""

    attempt_id: AttemptId
    status: int
    content_type: str

    @property
    def is_event_stream(self) -> bool:
        """Return whether a successful answer with a stream of events follows."""
        media_type = self.content_type.partition(";")[0].strip().lower()
        return 200 <= self.status < 300 and media_type == EVENT_STREAM_TYPE

    def continues(self, first: "AnswerHead") -> bool:
        """Return whether the answer may continue the stream that ``first`` started."""
        return self.is_event_stream and first.is_event_stream


@dataclass(frozen=True, slots=True)
class AttemptChunk(Message):
    """A runner sent a part of its answer.

    ``offset`` is the number of tokens before this part, or of bytes if the
    answer isn't a token stream.
    """

    attempt_id: AttemptId
    data: bytes = field(repr=False)
    tokens: int
    offset: int


@dataclass(frozen=True, slots=True)
class AttemptFinished(Message):
    """A runner sent its complete answer."""

    attempt_id: AttemptId
    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFailed(Message):
    """An attempt ended without a complete answer."""

    attempt_id: AttemptId
    failure: AttemptFailure
    sent: SendState
    detail: str = ""
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class AttemptEnded(Message):
    """An attempt released its slot, for whatever reason.

    The attempt filter emits it exactly once for each planned attempt.
    ``first_token_ms`` is measured from the start of the attempt.
    """

    reaches_all: ClassVar[bool] = True

    attempt_id: AttemptId
    runner_id: RunnerId
    routed: RoutedRequest
    started_ms: int
    tokens: int
    failure: AttemptFailure | None
    first_token_ms: int | None = None


@dataclass(frozen=True, slots=True)
class CapacityChanged(Message):
    """A pool may have free slots again."""

    pool: PoolName


@dataclass(frozen=True, slots=True)
class PreemptionRequested(Message):
    """A higher tier needs the slot of the running request ``request_id``."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class CapacityRequested(Message):
    """Requests wait for the pool and no slot is free.

    ``tier`` is the highest tier of the ``waiting`` requests.
    """

    pool: PoolName
    tier: Tier
    waiting: int


@dataclass(frozen=True, slots=True)
class OpenRequestsChecked(Message):
    """An error may have left behind what filters keep of other requests than these."""

    reaches_all: ClassVar[bool] = True

    open_ids: frozenset[RequestId]


@dataclass(frozen=True, slots=True)
class AttemptsChecked(Message):
    """These are all attempts that are in flight after an error."""

    attempt_ids: frozenset[AttemptId]


@dataclass(frozen=True, slots=True)
class RequestEnded(Message):
    """A request left the pipeline: answered, refused, failed or cancelled.

    Emitted exactly once for each routed request. ``code`` is ``None`` for a
    complete answer, which has the outcome ``RAN``, and for a request that the
    caller cancelled. ``first_token_ms`` and ``completion_ms``, the time to the
    end of the last attempt, are measured from arrival. ``tokens`` is the number
    of tokens sent to the caller; all of them count as ``wasted_tokens`` unless
    the answer is complete.
    """

    reaches_all: ClassVar[bool] = True

    routed: RoutedRequest
    outcome: RunOutcome
    code: ErrorCode | None
    first_token_ms: int | None = None
    completion_ms: int | None = None
    tokens: int = 0
    wasted_tokens: int = 0
