"""Effects: what the dispatch pipeline asks the services around it to do."""

from dataclasses import dataclass, field

from figshunt.dispatch._call import Call
from figshunt.dispatch._messages import PlacementNotice, QueueNotice, ReplyHead
from figshunt.types import (
    AttemptId,
    CancelReason,
    Effect,
    ErrorCode,
    Fingerprint,
    RequestId,
    RunnerId,
    TeamName,
)


@dataclass(frozen=True, slots=True)
class SendCall(Effect):
    """Send a call to a runner.

    ``patience_ms`` is how long the runner may work on it, ``resume_after``
    the last event that the caller has, ``priority`` 0 for the most urgent,
    ``fetch_from`` the address of a runner that holds more of the prompt.
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    address: str
    call: Call
    team: TeamName | None
    patience_ms: int
    priority: int
    resume_after: int | None
    fetch_from: str | None = None


@dataclass(frozen=True, slots=True)
class CancelSend(Effect):
    """Stop a send by closing its connection."""

    attempt_id: AttemptId
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class AnswerWhole(Effect):
    """Give the caller a runner's whole answer."""

    call_id: RequestId
    head: ReplyHead
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class AnswerBegin(Effect):
    """Send the head of a stream to the caller."""

    call_id: RequestId
    head: ReplyHead


@dataclass(frozen=True, slots=True)
class AnswerEvent(Effect):
    """Send one whole event to the caller."""

    call_id: RequestId
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class AnswerEnd(Effect):
    """End a stream normally; it is whole."""

    call_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerBreak(Effect):
    """Close the caller's connection so that the stream can't look whole."""

    call_id: RequestId


@dataclass(frozen=True, slots=True)
class AnswerError(Effect):
    """Answer with an error of this host.

    ``status`` tells whether the request ran: 429 and 503 only if it did not.
    """

    call_id: RequestId
    code: ErrorCode
    status: int
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class TellPeers(Effect):
    """Send this host's status to its peers, with what they should know."""

    placements: tuple[PlacementNotice, ...] = ()
    crashed: tuple[tuple[Fingerprint, str], ...] = ()
    queues: tuple[QueueNotice, ...] = ()


AnswerPart = (
    AnswerWhole | AnswerBegin | AnswerEvent | AnswerEnd | AnswerBreak | AnswerError
)
