"""Incremental reading of server-sent events."""

from collections.abc import Iterable, Iterator
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

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that isn't complete yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Add bytes and yield each event that is complete."""
        self._buffer += data
        while (end := self._buffer.find(END_OF_EVENT)) >= 0:
            raw = bytes(self._buffer[: end + len(END_OF_EVENT)])
            del self._buffer[: len(raw)]
            yield _parse_event(raw)


@dataclass(frozen=True, slots=True)
class EventRun:
    """Consecutive token events that arrived together, as received.

    ``offset`` counts the tokens before the run; the end marker, if the run
    has one, is its last event and counts as no token.
    """

    data: bytes
    tokens: int
    offset: int
    is_done: bool


def join_events(events: Iterable[ServerSentEvent], offset: int) -> Iterator[EventRun]:
    """Join events into runs without gaps, so each run is handled only once.

    :param offset: tokens before the first event, for events without an id.
    """
    raws: list[bytes] = []
    first = offset
    for event in events:
        if event.is_done:
            raws.append(event.raw)
            yield EventRun(b"".join(raws), offset - first, first, is_done=True)
            return
        if event.event_id is not None and event.event_id != offset:
            if raws:
                yield EventRun(b"".join(raws), offset - first, first, is_done=False)
                raws = []
            first = offset = event.event_id
        raws.append(event.raw)
        offset += 1
    if raws:
        yield EventRun(b"".join(raws), offset - first, first, is_done=False)


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
