"""Logging, metrics, event streams, connections and timers of all daemons."""

from figshunt.runtime._body_pieces import (
    BODY_PIECE_BYTES,
    STREAM_PIECE_BYTES,
    iterate_received,
)
from figshunt.runtime._bounded_connector import (
    BoundedConnector,
    BoundedResponse,
    BoundedResponseHandler,
    InvalidStatusError,
    OversizedResponseError,
    allow_body,
    check_status,
    forbid_resending,
)
from figshunt.runtime._caller_bounds import CallerBounds
from figshunt.runtime._caller_connection import CallerConnection, RequestRefusedError
from figshunt.runtime._caller_limits import (
    HEAD_TIMEOUT_S,
    MAX_HEAD_BYTES,
    CallerFault,
    CallerLimits,
)
from figshunt.runtime._caller_server import CallerServer
from figshunt.runtime._event_log import (
    EventLog,
    KeyValueDestination,
    LogOutput,
    format_value,
    open_log,
)
from figshunt.runtime._event_stream import (
    MAX_EVENT_BYTES,
    EventBatch,
    EventStreamReader,
    ServerSentEvent,
    attach_comments,
    join_events,
)
from figshunt.runtime._head_budget import MAX_HELD_HEAD_BYTES, HeadBudget
from figshunt.runtime._log_rate_limit import LogRateLimit
from figshunt.runtime._message_sink import MessageSink
from figshunt.runtime._metrics import Metrics
from figshunt.runtime._receive_budget import (
    CONNECTION_BYTES,
    MAX_RECEIVED_BYTES,
    ReceiveBudget,
    ReceiveShare,
)
from figshunt.runtime._request_framing import RequestFraming
from figshunt.runtime._stream_turns import (
    STEPS_PER_SLICE,
    STEPS_PER_TURN,
    StreamTurn,
    StreamTurns,
)
from figshunt.runtime._tracebacks import drop_tracebacks
from figshunt.runtime._unexpected_error_log import UnexpectedErrorLog
from figshunt.runtime._wake_timer import WakeTimer

__all__ = [
    "BODY_PIECE_BYTES",
    "BoundedConnector",
    "BoundedResponse",
    "BoundedResponseHandler",
    "CONNECTION_BYTES",
    "CallerBounds",
    "CallerConnection",
    "CallerFault",
    "CallerLimits",
    "CallerServer",
    "EventBatch",
    "EventLog",
    "EventStreamReader",
    "HEAD_TIMEOUT_S",
    "HeadBudget",
    "InvalidStatusError",
    "KeyValueDestination",
    "LogOutput",
    "LogRateLimit",
    "MAX_EVENT_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_HELD_HEAD_BYTES",
    "MAX_RECEIVED_BYTES",
    "MessageSink",
    "Metrics",
    "OversizedResponseError",
    "ReceiveBudget",
    "ReceiveShare",
    "RequestFraming",
    "RequestRefusedError",
    "STEPS_PER_SLICE",
    "STREAM_PIECE_BYTES",
    "STEPS_PER_TURN",
    "ServerSentEvent",
    "StreamTurn",
    "StreamTurns",
    "UnexpectedErrorLog",
    "WakeTimer",
    "allow_body",
    "attach_comments",
    "check_status",
    "drop_tracebacks",
    "forbid_resending",
    "format_value",
    "iterate_received",
    "join_events",
    "open_log",
]
