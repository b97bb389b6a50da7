"""Logging, metrics, event streams and timers that all daemons share."""

from figshunt.runtime._event_log import (
    EventLog,
    KeyValueDestination,
    LogOutput,
    format_value,
    open_log,
)
from figshunt.runtime._event_stream import (
    EventBatch,
    EventStreamReader,
    ServerSentEvent,
    join_events,
)
from figshunt.runtime._log_rate_limit import LogRateLimit
from figshunt.runtime._message_sink import MessageSink
from figshunt.runtime._metrics import Metrics
from figshunt.runtime._wake_timer import WakeTimer

__all__ = [
    "EventBatch",
    "EventLog",
    "EventStreamReader",
    "KeyValueDestination",
    "LogOutput",
    "LogRateLimit",
    "MessageSink",
    "Metrics",
    "ServerSentEvent",
    "WakeTimer",
    "format_value",
    "join_events",
    "open_log",
]
