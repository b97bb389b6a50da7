"""Logs each event through eliot as one line of key=value pairs."""

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
    """A destination for complete lines of text."""

    def write(self, text: str, /) -> int:
        """Accept one line, including its line break."""

    def flush(self) -> None:
        """Write out the accepted lines."""


class KeyValueDestination:
    """An eliot destination that writes messages as lines of key=value pairs."""

    def __init__(self, output: LogOutput, min_level: str) -> None:
        self._output = output
        self._included_levels = frozenset(LEVELS[LEVELS.index(min_level) :])

    def __call__(self, message: Mapping[str, Any]) -> None:
        """Write one eliot message, unless its level is below the minimum."""
        if message.get("level", "info") not in self._included_levels:
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
    """Return the text of a value in a log line, quoted as JSON where needed."""
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    return json.dumps(text)


class EventLog:
    """Writes events and adds the common fields of one daemon to each."""

    def __init__(self, common_fields: Mapping[str, Any]) -> None:
        self._common_fields = dict(common_fields)

    def write(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write one event; ``fields`` must not contain secrets or prompts."""
        eliot.log_message(
            message_type=event, level=level, **self._common_fields, **fields
        )


def open_log(min_level: str, output: LogOutput = sys.stderr) -> KeyValueDestination:
    """Write all events of this process to ``output`` and return the destination."""
    destination = KeyValueDestination(output, min_level)
    eliot.add_destinations(destination)
    return destination
