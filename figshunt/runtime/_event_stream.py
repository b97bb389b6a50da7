"""Incremental parser for server-sent events."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

EVENT_TERMINATOR = b"\n\n"
DONE_DATA = b"[DONE]"

# A server may send this much between two events with data. It exceeds what a
# connection receives ahead of the reader, and events are much smaller.
MAX_EVENT_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One event: its bytes as received, its id if that is numeric, and its data."""

    raw: bytes
    event_id: int | None
    data: bytes

    @property
    def is_comment(self) -> bool:
        """Return whether the event has neither an id nor data."""
        return self.event_id is None and not self.data

    @property
    def is_done(self) -> bool:
        """Return whether this event marks the end of a complete stream."""
        return self.data == DONE_DATA


class EventStreamReader:
    """Splits a byte stream into events.

    Bytes are kept as they were received, since a growing buffer that is moved again
    and again would need several times its size on the heap.
    """

    def __init__(self) -> None:
        self._chunks: list[bytes] = []

    @property
    def pending_bytes(self) -> bytes:
        """Return the bytes after the last complete event."""
        return b"".join(self._chunks)

    def feed(self, data: bytes) -> Iterator[ServerSentEvent]:
        """Append bytes and yield each event that they complete."""
        # What was received before contains no terminator except for its start.
        previous_end = self._chunks[-1][-1:] if self._chunks else b""
        if data:
            self._chunks.append(data)
        if EVENT_TERMINATOR not in previous_end + data:
            return
        buffer = self.pending_bytes
        *events, rest = buffer.split(EVENT_TERMINATOR)
        self._chunks = [rest] if rest else []
        for event in events:
            yield _parse_event(event + EVENT_TERMINATOR)


def attach_comments(
    events: Iterable[ServerSentEvent],
) -> Iterator[ServerSentEvent | None]:
    """Join the bytes of events without id and data with those of the next event.

    An endless series of comments thus costs little. Those at the end are yielded
    as one event. ``None`` stands for a comment that was kept, so that the series can be
    read in steps.
    """
    comments: list[bytes] = []
    for event in events:
        if event.is_comment:
            comments.append(event.raw)
            yield None
            continue
        raw = b"".join([*comments, event.raw])
        comments.clear()
        yield ServerSentEvent(raw, event.event_id, event.data)
    if comments:
        yield ServerSentEvent(b"".join(comments), None, b"")


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Consecutive token events that arrived together, as received.

    ``offset`` is the number of tokens before the batch. If the batch contains the
    end marker, that is its last event and isn't counted as a token.
    """

    data: bytes
    tokens: int
    offset: int
    is_done: bool


def join_events(events: Iterable[ServerSentEvent], offset: int) -> Iterator[EventBatch]:
    """Join events into batches without gaps, which are cheaper to handle.

    An event without id and data is a comment and doesn't count as a token.

    :param offset: tokens before the first event, used for events without an id.
    """
    raw_events: list[bytes] = []
    first_offset = offset
    for event in events:
        if event.is_done:
            raw_events.append(event.raw)
            yield EventBatch(
                b"".join(raw_events), offset - first_offset, first_offset, is_done=True
            )
            return
        if event.event_id is not None and event.event_id != offset:
            if raw_events:
                yield EventBatch(
                    b"".join(raw_events),
                    offset - first_offset,
                    first_offset,
                    is_done=False,
                )
                raw_events = []
            first_offset = offset = event.event_id
        raw_events.append(event.raw)
        if event.data or event.event_id is not None:
            offset += 1
    if raw_events:
        yield EventBatch(
            b"".join(raw_events), offset - first_offset, first_offset, is_done=False
        )


def _parse_event(raw: bytes) -> ServerSentEvent:
    event_ids = []
    data = b""
    for line in raw.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data += value
        elif name == b"id":
            event_ids.append(int(value) if value.isdigit() else None)
    # Two ids show that the end of the event before was lost.
    event_id = event_ids[0] if len(event_ids) == 1 else None
    return ServerSentEvent(raw, event_id, data)
