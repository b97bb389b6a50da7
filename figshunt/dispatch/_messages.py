"""Messages about calls and attempts, in the order in which they occur."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import ClassVar

from figshunt.directory import PublishedRoute, PublishedRunner
from figshunt.dispatch._call import Call, PromptPart, RoutedCall
from figshunt.dispatch.admission._suspect import Suspect
from figshunt.types import (
    NO_VERSION,
    AttemptFailure,
    AttemptId,
    DataCentreName,
    HostName,
    Message,
    PoolName,
    RequestId,
    RunnerId,
    SendState,
    StoreEra,
    StoreRevision,
    Version,
)


class ReplyVerdict(Enum):
    """The outcome of a request according to the status and headers of the answer.

    ``UNPROVEN_REFUSAL`` is a status by which callers conclude that the request did
    not run, without the runner's statement that it didn't.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    WRONG_RUNNER = "wrong_runner"
    UNPROVEN_REFUSAL = "unproven_refusal"


@dataclass(frozen=True, slots=True)
class RunnerLoad:
    """What a runner says of itself in an answer: its requests and its slots.

    ``slowdown`` is the current duration of work on its machine, where 100 is normal.
    """

    running: int
    waiting: int
    slots: int
    slowdown: int | None = None


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status and headers of a runner's answer.

    ``headers`` are those to forward to the caller. ``has_receipt`` is set if
    the answer carries the stamp by which the runner confirms that the answer is
    its own, ``matches_request`` if the answer identifies this request.
    ``announces_leaving`` is set if the runner announces in it that it is leaving.
    ``is_delimited`` is set if the answer has a length or chunks; otherwise it ends
    with its connection. ``names_limit`` is set if the runner names the requests a
    second that it takes from all hosts together, and ``limit_per_s`` if that can be
    read. ``load`` is what the runner says of its load.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    verdict: ReplyVerdict
    has_receipt: bool
    matches_request: bool
    is_stream: bool
    retry_after_ms: int | None = None
    announces_leaving: bool = False
    is_delimited: bool = True
    names_limit: bool = False
    limit_per_s: float | None = None
    load: RunnerLoad | None = None


@dataclass(frozen=True, slots=True)
class CallArrived(Message):
    """A caller's request was received completely."""

    call: Call


@dataclass(frozen=True, slots=True)
class CallMatched(Message):
    """The route of a call was found."""

    call: Call
    route: PublishedRoute


@dataclass(frozen=True, slots=True)
class CallRouted(Message):
    """The route, team, pool and deadline of a call are known."""

    routed: RoutedCall


@dataclass(frozen=True, slots=True)
class CallAdmitted(Message):
    """A call may be sent to a runner, for the first time or again."""

    routed: RoutedCall


class PlacementChoice(Enum):
    """As what a runner was chosen.

    ``HOME`` is a home of the prompt's shared prefix, ``HOLDER`` another runner that has
    it cached, ``OTHER`` any other one. ``ANY`` is a runner of a pool without homes.
    """

    HOME = "home"
    HOLDER = "holder"
    OTHER = "other"
    ANY = "any"


@dataclass(frozen=True, slots=True)
class CallAttemptPlanned(Message):
    """A runner was chosen; the attempt is about to start.

    ``prefill_tokens`` is the number of prompt tokens that the runner is expected
    to process itself. It fetches cached parts that it lacks from the runner at
    the address ``fetch_from``. ``known_streams`` is the number of streams that
    this host assumes to run there already.
    """

    attempt_id: AttemptId
    runner: PublishedRunner
    routed: RoutedCall
    prefill_tokens: int
    expected_first_ms: int
    fetch_from: str | None = None
    known_streams: int = 0
    choice: PlacementChoice = PlacementChoice.ANY


@dataclass(frozen=True, slots=True)
class CallAbandoned(Message):
    """The caller closed the connection."""

    call_id: RequestId


@dataclass(frozen=True, slots=True)
class ReplyComplete(Message):
    """The complete answer of a runner, other than a stream, was received."""

    attempt_id: AttemptId
    head: ReplyHead
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ReplyStarted(Message):
    """A runner started to answer with a stream of events."""

    attempt_id: AttemptId
    head: ReplyHead


@dataclass(frozen=True, slots=True)
class ReplyEvent(Message):
    """A complete event of a stream, as received.

    ``event_id`` is ``None`` if the event has no readable id. ``is_comment`` is set if
    it has neither an id nor data.
    """

    attempt_id: AttemptId
    event_id: int | None
    data: bytes = field(repr=False)
    is_comment: bool = False
    has_data: bool = True


@dataclass(frozen=True, slots=True)
class ReplyEnded(Message):
    """A stream ended with the normal HTTP end of the body."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class CallAttemptFailed(Message):
    """An attempt ended without a complete answer."""

    attempt_id: AttemptId
    failure: AttemptFailure
    sent: SendState
    detail: str


@dataclass(frozen=True, slots=True)
class CallAttemptDue(Message):
    """An attempt has reached its deadline or its stall limit."""

    attempt_id: AttemptId


@dataclass(frozen=True, slots=True)
class OpenCallsChecked(Message):
    """An error may have left behind what filters keep of other calls than these."""

    reaches_all: ClassVar[bool] = True
    open_ids: frozenset[RequestId]


@dataclass(frozen=True, slots=True)
class CallAttemptsChecked(Message):
    """These are all attempts that are in flight after an error."""

    attempt_ids: frozenset[AttemptId]


class CallAttemptResult(Enum):
    """The result of an attempt, used to assess the state of the runner."""

    SERVED = "served"
    RUNNER_ERROR = "runner_error"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    INVALID_ANSWER = "spoiled"
    STALLED = "stalled"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class CallAttemptEnded(Message):
    """A planned attempt ended and occupies its runner no longer.

    This message is emitted once per planned attempt. ``last_received_ms`` is the
    time at which data was last received for the attempt, or its start time.
    ``pause_ms`` is the time for which the runner wants no request from this host.
    ``is_delimited`` is unset if the answer was complete but ended with its connection.
    ``first_ms`` is the time from its start to the first event of a stream, and
    ``events`` the number of events.
    """

    reaches_all: ClassVar[bool] = True

    attempt_id: AttemptId
    runner_id: RunnerId
    routed: RoutedCall
    result: CallAttemptResult
    started_ms: int
    last_received_ms: int
    is_wrong_runner: bool = False
    pause_ms: int = 0
    is_delimited: bool = True
    first_ms: int | None = None
    events: int = 0


@dataclass(frozen=True, slots=True)
class RunnerLoadSeen(Message):
    """A runner said in an answer of its own how loaded it is.

    ``process`` is the start of the process that was sent the request.
    """

    runner_id: RunnerId
    process: int | None
    load: RunnerLoad


@dataclass(frozen=True, slots=True)
class RunnerLimitSeen(Message):
    """A runner named a limit in an answer, or none if ``limit_per_s`` is ``None``.

    The limit is in requests a second from all hosts together. ``process`` is the start
    of the process that was sent the request, as in its entry. The request was sent at
    ``sent_ms``.
    """

    runner_id: RunnerId
    process: int | None
    limit_per_s: float | None
    sent_ms: int


@dataclass(frozen=True, slots=True)
class CallEnded(Message):
    """A routed call was answered, refused, failed or abandoned.

    This message is emitted once per routed call.
    """

    routed: RoutedCall


@dataclass(frozen=True, slots=True)
class PlacementNotice:
    """A host sent a request to a runner.

    ``prefill_tokens`` is the number of prompt tokens that the runner has to
    process, ``parts`` the prompt parts that it will have cached afterwards.
    ``gap_target_ms`` is 0 if the answer is not a stream.
    """

    runner_id: RunnerId
    prefill_tokens: int
    gap_target_ms: int
    expected_ms: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class QueueNotice:
    """A host observed a longer prefill queue at a runner than estimated.

    ``backlog_ms`` is the remaining prefill time of the queued prompts.
    """

    runner_id: RunnerId
    backlog_ms: int


@dataclass(frozen=True, slots=True)
class SilenceNotice:
    """A host leaves a runner alone that is silent or unreachable.

    ``exclusion_ms`` is the time for which it does so.
    """

    runner_id: RunnerId
    exclusion_ms: int


@dataclass(frozen=True, slots=True)
class RejectionNotice:
    """A runner of a plain service turned a call away."""

    runner_id: RunnerId


@dataclass(frozen=True, slots=True)
class OccupancyNotice:
    """What a host has in flight at a runner at one priority, as a whole.

    ``tokens`` is the size of the KV cache that the requests need.
    """

    runner_id: RunnerId
    priority: int
    requests: int
    tokens: int


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """What a host knows of the limit that a runner names, and does about it.

    ``process`` is the start of the runner's process, as in its entry. ``per_s`` is the
    limit in requests a second from all hosts together, or ``None`` if it is lifted. An
    answer showed that ``observed_age_ms`` ago; the limit was first named
    ``since_age_ms`` ago. ``attempts`` counts the host's own since it knows the limit.
    ``has_demand`` is set while the host has calls that could use the runner.
    """

    runner_id: RunnerId
    process: int | None
    per_s: float | None
    observed_age_ms: int
    since_age_ms: int
    attempts: int
    has_demand: bool


@dataclass(frozen=True, slots=True)
class SpeedNotice:
    """How fast a host found a runner, from its own answers alone.

    ``process`` is the start of the runner's process, as in its entry. ``lasting`` is
    the factor by which its work takes longer than is usual, ``recent`` the one by which
    it has differed from that since the last notice. The weights are in answers.
    """

    runner_id: RunnerId
    process: int | None
    lasting: float
    weight: float
    recent: float
    recent_weight: float


@dataclass(frozen=True, slots=True)
class RepeatNotice:
    """What a host did with a pool in the window of the retry budget, as a whole.

    ``requests`` counts those that stay in the window until the host reports again,
    ``common_repeats`` the retries beyond the host's equal part.
    ``is_over_equal_part`` is set while that part is too small.
    """

    pool: PoolName
    requests: int
    common_repeats: int
    is_over_equal_part: bool


@dataclass(frozen=True, slots=True)
class HeldNotice:
    """How many calls of a pool and priority a host holds."""

    pool: PoolName
    priority: int
    calls: int


@dataclass(frozen=True, slots=True)
class CrashAge:
    """A runner's process that crashed ``age_ms`` ago."""

    process: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class SuspectReport:
    """All that a host knows of a content or prompt part that crashed runners.

    ``depth`` is the place of a part in its prompt. ``successes`` are those that the
    host has seen itself since the first crash, the other numbers those that it knows
    of. ``trial_age_ms`` is the age of the latest trial unless that was passed.
    """

    suspect: Suspect
    depth: int
    crashes: tuple[CrashAge, ...]
    successes: int = 0
    earlier_successes: int = 0
    passed_trials: int = 0
    failed_trials: int = 0
    trial_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class HostStatus:
    """The status that a host sends to its peers.

    ``suspects_digest`` is equal at hosts that know the same of suspects. ``version``
    is the version of the configuration in force, ``revision`` the store revision up
    to which the host has all published items. ``can_read_store`` is set if the host
    can read the store itself. ``known_hosts`` is how many hosts it knows to live.
    ``era`` is the era of ``revision``. ``link_mbps`` is what the host's link carries,
    or 0 if it isn't known.
    ``heard_digest`` is equal at hosts that hear the same hosts.
    """

    host: HostName
    incarnation: int
    address: str
    version: int
    revision: int
    can_read_store: bool
    data_centre: DataCentreName
    known_hosts: int = 1
    placements: tuple[PlacementNotice, ...] = ()
    suspects: tuple[SuspectReport, ...] = ()
    queues: tuple[QueueNotice, ...] = ()
    silences: tuple[SilenceNotice, ...] = ()
    occupancies: tuple[OccupancyNotice, ...] = ()
    limits: tuple[LimitNotice, ...] = ()
    speeds: tuple[SpeedNotice, ...] = ()
    rejections: tuple[RejectionNotice, ...] = ()
    held: tuple[HeldNotice, ...] = ()
    repeats: tuple[RepeatNotice, ...] = ()
    suspects_digest: int = 0
    heard_digest: int = 0
    era: StoreEra = NO_VERSION.era
    link_mbps: int = 0

    @property
    def store_version(self) -> Version:
        """Return the store version up to which the host has all published items."""
        return Version(self.era, StoreRevision(self.revision))

    @property
    def notice_count(self) -> int:
        """Return the number of notices of all kinds."""
        return (
            len(self.placements)
            + len(self.suspects)
            + len(self.queues)
            + len(self.silences)
            + len(self.occupancies)
            + len(self.limits)
            + len(self.speeds)
            + len(self.rejections)
            + len(self.held)
            + len(self.repeats)
        )

    def without_notices(self) -> "HostStatus":
        """Return the status alone."""
        if not self.notice_count:
            return self
        return replace(
            self,
            placements=(),
            suspects=(),
            queues=(),
            silences=(),
            occupancies=(),
            limits=(),
            speeds=(),
            rejections=(),
            held=(),
            repeats=(),
        )


@dataclass(frozen=True, slots=True)
class PeerStatusReceived(Message):
    """A status message of a peer was received."""

    status: HostStatus


@dataclass(frozen=True, slots=True)
class DrainStarted(Message):
    """This host begins a planned stop.

    It accepts new connections until ``accepts_until_ms``, and answers the calls that
    are still open at ``ends_ms``.
    """

    accepts_until_ms: int
    ends_ms: int


@dataclass(frozen=True, slots=True)
class GraceEnded(Message):
    """This host stops now; calls that are still open have to be answered."""

    reaches_all: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class PeerStarted(Message):
    """A peer is heard for the first time, after a restart, or after a silence."""

    host: HostName


@dataclass(frozen=True, slots=True)
class FirstEventSeen(Message):
    """The first event of an attempt arrived, ``waited_ms`` after its start.

    ``expected_ms`` is the time that was estimated for it.
    """

    attempt_id: AttemptId
    runner_id: RunnerId
    waited_ms: int
    expected_ms: int
