"""Log lines of key=value pairs, one for each event, written through eliot."""

import json
import sys
from collections.abc import Mapping
from typing import Any, Protocol

import eliot

LEVELS = ("debug", "info", "warning", "error")
OMITTED_FIELDS = frozenset(
    {"task_uuid", "task_level", "message_type", "timestamp", "level"}
)


class LogOutput(Protocol):
    """Takes whole lines."""

    def write(self, text: str, /) -> int:
        """Take one line."""

    def flush(self) -> None:
        """Pass on what was taken."""


class KeyValueDestination:
    """An eliot destination that prints one line of key=value pairs."""

    def __init__(self, output: LogOutput, lowest_level: str) -> None:
        self._output = output
        self._levels = frozenset(LEVELS[LEVELS.index(lowest_level) :])

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one eliot message."""
        if message.get("level", "info") not in self._levels:
            return
        pairs = [
            f"time={message.get('timestamp', 0):.3f}",
            f"level={message.get('level', 'info')}",
            f"event={message.get('message_type', 'unknown')}",
        ]
        pairs.extend(
            f"{name}={format_value(value)}"
            for name, value in message.items()
            if name not in OMITTED_FIELDS
        )
        self._output.write(" ".join(pairs) + "\n")
        self._output.flush()


def format_value(value: object) -> str:
    """Return a value as it stands in a log line, quoted where needed."""
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    return json.dumps(text)


class EventLog:
    """Writes events with the fields of one daemon added to each."""

    def __init__(self, common_fields: Mapping[str, Any]) -> None:
        self._common_fields = dict(common_fields)

    def write(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one event; ``fields`` must hold no secret and no prompt."""
        eliot.log_message(
            message_type=event, level=level, **self._common_fields, **fields
        )


def open_log(lowest_level: str, output: LogOutput = sys.stderr) -> KeyValueDestination:
    """Send all events of this process to ``output`` and return the destination."""
    destination = KeyValueDestination(output, lowest_level)
    eliot.add_destinations(destination)
    return destination
