"""Decisions of an entry host that shares no state with others."""

from figshunt.dispatch._call import Call, PartId, Prompt, PromptPart, RoutedCall
from figshunt.dispatch._cold_limit import ColdLimit, SharedBounds
from figshunt.dispatch._core import DispatchCore
from figshunt.dispatch._crash_filter import CrashFilter
from figshunt.dispatch._effects import (
    AnswerBegin,
    AnswerBreak,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    AnswerPart,
    AnswerWhole,
    CancelSend,
    SendCall,
    TellPeers,
)
from figshunt.dispatch._messages import (
    CallAbandoned,
    CallAdmitted,
    CallArrived,
    CallEnded,
    CallMatched,
    CallRouted,
    FirstEventSeen,
    HostStatus,
    PeerHeard,
    PlacementNotice,
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
from figshunt.dispatch._peer_filter import PeerFilter, PeersView
from figshunt.dispatch._placement_filter import PlacementFilter
from figshunt.dispatch._prefix_memory import PrefixMemory
from figshunt.dispatch._runner_model import RunnerModel
from figshunt.dispatch._send_filter import SendFilter

__all__ = [
    "AnswerBegin",
    "AnswerBreak",
    "AnswerEnd",
    "AnswerError",
    "AnswerEvent",
    "AnswerPart",
    "AnswerWhole",
    "Call",
    "CallAbandoned",
    "CallAdmitted",
    "CallArrived",
    "CallEnded",
    "CallMatched",
    "CallRouted",
    "CancelSend",
    "ColdLimit",
    "CrashFilter",
    "DispatchCore",
    "FirstEventSeen",
    "HostStatus",
    "PartId",
    "PeerFilter",
    "PeerHeard",
    "PeersView",
    "PlacementFilter",
    "PlacementNotice",
    "PrefixMemory",
    "Prompt",
    "PromptPart",
    "ReplyEnded",
    "ReplyEvent",
    "ReplyHead",
    "ReplyStarted",
    "ReplyVerdict",
    "ReplyWhole",
    "RoutedCall",
    "RunnerModel",
    "SendCall",
    "SendEnded",
    "SendFailed",
    "SendFilter",
    "SendPlanned",
    "SendResult",
    "SharedBounds",
    "TellPeers",
]
