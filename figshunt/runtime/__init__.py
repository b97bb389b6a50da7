"""Logging, metrics, event streams and timers that all daemons share."""

from figshunt.runtime._event_limit import EventLimit
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
from figshunt.runtime._feed import Feed
from figshunt.runtime._metrics import Metrics
from figshunt.runtime._wake_timer import WakeTimer

__all__ = [
    "EventLimit",
    "EventLog",
    "EventBatch",
    "EventStreamReader",
    "Feed",
    "KeyValueDestination",
    "LogOutput",
    "Metrics",
    "ServerSentEvent",
    "WakeTimer",
    "format_value",
    "join_events",
    "open_log",
]
