"""Incremental reading of server-sent events."""

from collections.abc import Iterator
from dataclasses import dataclass

END_OF_EVENT = b"\n\n"
DONE = b"[DONE]"


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One event: its bytes as received, and its id if that is a number."""

    raw: bytes
    event_id: int | None
    data: bytes

    @property
    def is_done(self) -> bool:
        """Return whether this is the marker that the stream is whole."""
        return self.data == DONE


class EventStreamReader:
    """Cuts a byte stream into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Add bytes and yield each event that is complete."""
        self._buffer += data
        while (end := self._buffer.find(END_OF_EVENT)) >= 0:
            raw = bytes(self._buffer[: end + len(END_OF_EVENT)])
            del self._buffer[: len(raw)]
            yield _parse_event(raw)


def _parse_event(raw: bytes) -> ServerSentEvent:
    event_id = None
    data = b""
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data += value
        elif name == b"id" and value.isdigit():
            event_id = int(value)
    return ServerSentEvent(raw, event_id, data)
