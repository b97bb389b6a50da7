"""Effects of the dispatch pipeline, which the services around it carry out."""

from dataclasses import dataclass, field

from figshunt.dispatch._call import Call
from figshunt.dispatch._messages import (
    LimitNotice,
    OccupancyNotice,
    PlacementNotice,
    QueueNotice,
    RejectionNotice,
    ReplyHead,
    SilenceNotice,
    SpeedNotice,
    SuspectReport,
)
from figshunt.types import (
    AttemptId,
    CancelReason,
    Effect,
    ErrorCode,
    RequestId,
    RunnerId,
    TeamName,
)


@dataclass(frozen=True, slots=True)
class StartCallAttempt(Effect):
    """Send a call to a runner.

    ``time_limit_ms`` is the time limit for the answer, ``resume_after`` the id
    of the last event that the caller has received. ``priority`` 0 is the most
    urgent. ``fetch_from`` is the address of a runner that has more of the
    prompt cached.
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    address: str
    call: Call
    team: TeamName | None
    time_limit_ms: int
    priority: int
    resume_after: int | None
    fetch_from: str | None = None


@dataclass(frozen=True, slots=True)
class CancelCallAttempt(Effect):
    """Cancel an attempt by closing its connection."""

    attempt_id: AttemptId
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class AnswerComplete(Effect):
    """Send the complete answer of a runner to the caller."""

    call_id: RequestId
    head: ReplyHead
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class AnswerStart(Effect):
    """Send the status and headers of a stream to the caller."""

    call_id: RequestId
    head: ReplyHead


@dataclass(frozen=True, slots=True)
class AnswerEvent(Effect):
    """Send one complete event of a stream to the caller."""

    call_id: RequestId
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class AnswerEnd(Effect):
    """End a complete stream normally."""

    call_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerAbort(Effect):
    """Close the caller's connection without a normal end of the stream.

    The caller can thereby detect that the stream is incomplete.
    """

    call_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerError(Effect):
    """Answer the caller with an error that this host generates.

    ``status`` is 429 or 503 only if the request did not run.
    """

    call_id: RequestId
    code: ErrorCode
    status: int
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class BroadcastStatus(Effect):
    """Send this host's status to its peers, together with these notices.

    Notices that ``can_wait`` are sent with the next status that is due anyway, those
    that are ``urgent`` at once.
    """

    placements: tuple[PlacementNotice, ...] = ()
    suspects: tuple[SuspectReport, ...] = ()
    queues: tuple[QueueNotice, ...] = ()
    silences: tuple[SilenceNotice, ...] = ()
    occupancies: tuple[OccupancyNotice, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    speeds: tuple[SpeedNotice, ...] = ()
    rejections: tuple[RejectionNotice, ...] = ()
    can_wait: bool = False
    is_urgent: bool = False


AnswerEffect = (
    AnswerComplete | AnswerStart | AnswerEvent | AnswerEnd | AnswerAbort | AnswerError
)
