"""What every daemon needs: logs, metrics, event streams, the core's input."""

from figshunt.runtime._event_limit import EventLimit
from figshunt.runtime._event_log import (
    EventLog,
    KeyValueDestination,
    LogOutput,
    format_value,
    open_log,
)
from figshunt.runtime._event_stream import (
    EventRun,
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
    "EventRun",
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
