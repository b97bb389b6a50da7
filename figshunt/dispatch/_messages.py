"""Messages about calls and sends, in the order in which they arise."""

from dataclasses import dataclass, field
from enum import Enum

from figshunt.directory import PublishedRoute, PublishedRunner
from figshunt.dispatch._call import Call, PromptPart, RoutedCall
from figshunt.types import (
    AttemptFailure,
    AttemptId,
    Fingerprint,
    HostName,
    Message,
    RequestId,
    RunnerId,
    SendState,
)


class ReplyVerdict(Enum):
    """What a runner's status line says of the request."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    WRONG_RUNNER = "wrong_runner"


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status and headers of a runner's answer.

    ``headers`` are those that go to the caller. ``has_receipt`` tells that
    the runner vouches for the answer, ``is_ours`` that it names this request.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    verdict: ReplyVerdict
    has_receipt: bool
    is_ours: bool
    is_stream: bool
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class CallArrived(Message):
    """A caller's request was read whole."""

    call: Call


@dataclass(frozen=True, slots=True)
class CallMatched(Message):
    """A call has a route."""

    call: Call
    route: PublishedRoute


@dataclass(frozen=True, slots=True)
class CallRouted(Message):
    """A call has a route, a team, a pool and a deadline."""

    routed: RoutedCall


@dataclass(frozen=True, slots=True)
class CallAdmitted(Message):
    """A call may be sent to a runner, for the first time or again."""

    routed: RoutedCall


@dataclass(frozen=True, slots=True)
class SendPlanned(Message):
    """A runner was chosen; the send is about to start.

    ``read_tokens`` is how much of the prompt the runner is expected to read;
    it fetches what the runner at ``fetch_from`` holds beyond its own.
    """

    attempt_id: AttemptId
    runner: PublishedRunner
    routed: RoutedCall
    read_tokens: int
    expected_first_ms: int
    fetch_from: str | None = None


@dataclass(frozen=True, slots=True)
class CallAbandoned(Message):
    """The caller closed its connection."""

    call_id: RequestId


@dataclass(frozen=True, slots=True)
class ReplyWhole(Message):
    """A runner answered in one piece, and all of it has arrived."""

    attempt_id: AttemptId
    head: ReplyHead
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ReplyStarted(Message):
    """A runner began to answer with a stream of events."""

    attempt_id: AttemptId
    head: ReplyHead


@dataclass(frozen=True, slots=True)
class ReplyEvent(Message):
    """One whole event of a stream, as received."""

    attempt_id: AttemptId
    event_id: int | None
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ReplyEnded(Message):
    """A stream ended as HTTP says that a whole answer does."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class SendFailed(Message):
    """A send ended without a whole answer."""

    attempt_id: AttemptId
    failure: AttemptFailure
    sent: SendState
    detail: str


class SendResult(Enum):
    """How a send ended, as far as the runner's condition is concerned."""

    SERVED = "served"
    RUNNER_ERROR = "runner_error"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    SPOILED = "spoiled"
    STALLED = "stalled"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class SendEnded(Message):
    """A planned send holds nothing at its runner any more; once for each.

    ``heard_ms`` is when the runner was last heard on this send, or when it
    was sent.
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    routed: RoutedCall
    result: SendResult
    heard_ms: int
    is_wrong_runner: bool = False


@dataclass(frozen=True, slots=True)
class CallEnded(Message):
    """A routed call was answered, refused, failed or abandoned; once for each."""

    routed: RoutedCall


@dataclass(frozen=True, slots=True)
class PlacementNotice:
    """A host sent a request to a runner.

    ``read_tokens`` is what the runner has to read; ``parts`` are what it holds
    from then on; ``gap_target_ms`` is 0 for no stream.
    """

    runner_id: RunnerId
    read_tokens: int
    gap_target_ms: int
    expected_ms: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class QueueNotice:
    """A host saw that a runner is behind; ``backlog_ms`` is left to read."""

    runner_id: RunnerId
    backlog_ms: int


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What a host tells its peers.

    ``crashed`` lists content that was running at runners that crashed, each
    with the crashed runner's identity. ``version`` is that of the
    configuration in force; ``revision`` the store's revision that the host
    has seen; ``is_current`` tells that it reads the store itself.
    """

    host: HostName
    incarnation: int
    address: str
    version: int
    revision: int
    is_current: bool
    peer_addresses: tuple[str, ...] = ()
    placements: tuple[PlacementNotice, ...] = ()
    crashed: tuple[tuple[Fingerprint, str], ...] = ()
    queues: tuple[QueueNotice, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerHeard(Message):
    """A peer's status arrived."""

    status: HostStatus


@dataclass(frozen=True, slots=True)
class FirstEventSeen(Message):
    """A planned send began to generate, ``waited_ms`` after it was sent."""

    attempt_id: AttemptId
    runner_id: RunnerId
    waited_ms: int
    expected_ms: int
