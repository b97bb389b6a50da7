"""Effects: operations that the pipeline requests from the surrounding services."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from figshunt.types._errors import ErrorCode
from figshunt.types._identifiers import AttemptId, RequestId, RunnerId, SeatNumber
from figshunt.types._peer_messages import PeerMessage
from figshunt.types._request import Request
from figshunt.types._states import CancelReason, RunOutcome, Step

LogValue = str | int | float | bool | None
LogFields = Mapping[str, LogValue]


@dataclass(frozen=True, slots=True)
class Effect:
    """Base class of all effects."""


@dataclass(frozen=True, slots=True)
class StartAttempt(Effect):
    """Send the request to a runner, resuming after ``resume_offset`` tokens.

    ``priority`` is the tier; ``timeout_ms`` limits the duration of the attempt.
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    url: str
    request: Request
    resume_offset: int
    priority: int
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class CancelAttempt(Effect):
    """Stop an attempt and close its connection."""

    attempt_id: AttemptId
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class StartAnswer(Effect):
    """Send the status and headers of the answer to the caller."""

    request_id: RequestId
    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class SendAnswer(Effect):
    """Send a part of the answer to the caller."""

    request_id: RequestId
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class EndAnswer(Effect):
    """End a complete answer normally."""

    request_id: RequestId


@dataclass(frozen=True, slots=True)
class FailAnswer(Effect):
    """End the answer with an explicit error.

    If the status and headers were already sent, the error is sent as the last
    event of the stream, and the connection is closed without a normal end.
    """

    request_id: RequestId
    code: ErrorCode
    step: Step
    outcome: RunOutcome
    detail: str
    peer: str | None = None
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class SendPeer(Effect):
    """Send a message to the daemon in a seat; discarded if there is no link."""

    seat: SeatNumber
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class WakeAt(Effect):
    """Schedule a :class:`figshunt.types.TimerDue` at this monotonic time."""

    monotonic_ms: int


@dataclass(frozen=True, slots=True)
class WatchRunners(Effect):
    """Keep a load report stream open to exactly these runners."""

    urls_by_runner: Mapping[RunnerId, str]


@dataclass(frozen=True, slots=True)
class LogEvent(Effect):
    """Write one log line, which must not contain secrets or prompts."""

    event: str
    step: Step
    fields: LogFields = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CountEvent(Effect):
    """Add ``amount`` to a counter with a bounded set of labels."""

    counter: str
    labels: Mapping[str, str] = field(default_factory=dict)
    amount: float = 1


@dataclass(frozen=True, slots=True)
class ObserveDuration(Effect):
    """Add one duration to a histogram with a bounded set of labels."""

    histogram: str
    labels: Mapping[str, str]
    duration_ms: int
