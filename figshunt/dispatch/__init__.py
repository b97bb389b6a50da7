"""Decision logic of an entry host that shares no state with other hosts."""

from figshunt.dispatch._call import Call, PartId, Prompt, PromptPart, RoutedCall
from figshunt.dispatch._call_attempt_filter import CallAttemptFilter
from figshunt.dispatch._cold_limit import ColdLimit, SharedBounds
from figshunt.dispatch._core import DispatchCore
from figshunt.dispatch._crash_filter import CrashFilter
from figshunt.dispatch._crash_records import Suspect, SuspectKind
from figshunt.dispatch._effects import (
    AnswerAbort,
    AnswerComplete,
    AnswerEffect,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    AnswerStart,
    BroadcastStatus,
    CancelCallAttempt,
    StartCallAttempt,
)
from figshunt.dispatch._engine_load import Demand, EngineLoad
from figshunt.dispatch._held_calls import HELD_CALLS_INTERVAL_MS
from figshunt.dispatch._messages import (
    CallAbandoned,
    CallAdmitted,
    CallArrived,
    CallAttemptEnded,
    CallAttemptFailed,
    CallAttemptPlanned,
    CallAttemptResult,
    CallEnded,
    CallMatched,
    CallRouted,
    CrashReport,
    FirstEventSeen,
    GraceEnded,
    HostStatus,
    OccupancyNotice,
    PeerStarted,
    PeerStatusReceived,
    PlacementNotice,
    QueueNotice,
    ReplyComplete,
    ReplyEnded,
    ReplyEvent,
    ReplyHead,
    ReplyStarted,
    ReplyVerdict,
    SilenceNotice,
)
from figshunt.dispatch._peer_filter import PeerFilter, PeersView
from figshunt.dispatch._placement_filter import PlacementFilter
from figshunt.dispatch._prefix_cache import PrefixCache
from figshunt.dispatch._priority_scale import PRIORITY_LEVELS, PriorityScale
from figshunt.dispatch._return_schedule import ReturnSchedule
from figshunt.dispatch._runner_model import RunnerModel

__all__ = [
    "HELD_CALLS_INTERVAL_MS",
    "PRIORITY_LEVELS",
    "AnswerAbort",
    "AnswerComplete",
    "AnswerEffect",
    "AnswerEnd",
    "AnswerError",
    "AnswerEvent",
    "AnswerStart",
    "BroadcastStatus",
    "Call",
    "CallAbandoned",
    "CallAdmitted",
    "CallArrived",
    "CallAttemptEnded",
    "CallAttemptFailed",
    "CallAttemptFilter",
    "CallAttemptPlanned",
    "CallAttemptResult",
    "CallEnded",
    "CallMatched",
    "CallRouted",
    "CancelCallAttempt",
    "ColdLimit",
    "CrashFilter",
    "CrashReport",
    "Demand",
    "DispatchCore",
    "EngineLoad",
    "FirstEventSeen",
    "GraceEnded",
    "HostStatus",
    "OccupancyNotice",
    "PartId",
    "PeerFilter",
    "PeerStarted",
    "PeerStatusReceived",
    "PeersView",
    "PlacementFilter",
    "PlacementNotice",
    "PrefixCache",
    "PriorityScale",
    "Prompt",
    "PromptPart",
    "QueueNotice",
    "ReplyComplete",
    "ReplyEnded",
    "ReplyEvent",
    "ReplyHead",
    "ReplyStarted",
    "ReplyVerdict",
    "ReturnSchedule",
    "RoutedCall",
    "RunnerModel",
    "SharedBounds",
    "SilenceNotice",
    "StartCallAttempt",
    "Suspect",
    "SuspectKind",
]
