"""Finds where the requests on a connection end."""

import re
from collections import deque
from enum import Enum

from figshunt.runtime._caller_limits import MAX_HEAD_BYTES, CallerFault

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
EMPTY_LINES = re.compile(rb"[\r\n]*")

# ``int`` accepts signs as well, and a negative size would move the position back.
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]+")

# The parser waits for the rest of the preface of HTTP/2, and then refuses it.
PREFACE_METHOD = b"PRI "

# ``int`` fails on some thousand digits. The parser refuses lengths of more than 64
# bits, but not leading zeros.
MAX_LENGTH_DIGITS = 20

# What is kept of the start of an incomplete line. A chunk's size has at most 16
# digits; the parser doesn't limit the extensions behind it.
MAX_LINE_START_BYTES = 64

# The line of a chunk's size without zeros in front and extensions behind it.
PLAIN_SIZE_LINE_BYTES = 16 + len(LINE_END)

# Bytes that a header field counts for beside its own: the parser's objects for it take
# 300, and what is held of a head takes about 3.5 times its size; both were measured.
FIELD_BYTES = 96


class FramingState(Enum):
    """The part of a request to which the next byte belongs.

    What follows ``INVALID`` bytes, or those behind a limit, is not looked at.
    """

    HEAD = "head"
    BODY = "body"
    CHUNK_SIZE = "chunk_size"
    CHUNK = "chunk"
    TRAILER = "trailer"
    INVALID = "invalid"


class RequestFraming:
    """Counts the whole requests among the bytes of an HTTP/1 connection.

    The parser of the HTTP library doesn't tell whether a part of a further request
    has arrived, and doesn't limit all that it keeps or skips. The framing follows RFC
    9112, sections 6 and 7.1. ``completed`` is the number of whole requests, and
    ``fault`` the limit that was exceeded. ``head_costs`` has the costs of whole heads,
    from which the owner takes those of requests that were answered.

    :param max_text_bytes: limit for a head, for the empty lines before it, for a
        trailer, and for what the lines between chunks have beyond the chunks' data.
    """

    def __init__(self, max_text_bytes: int = MAX_HEAD_BYTES) -> None:
        self.completed = 0
        self.fault: CallerFault | None = None
        self.head_costs: deque[int] = deque()
        self._max_text_bytes = max_text_bytes
        self._empty_bytes = 0
        # Of the incomplete line or trailer; what is pending may be less.
        self._line_bytes = 0
        self._fields = 0
        self._extension_bytes = 0
        self._data_bytes = 0
        self._state = FramingState.HEAD
        # The start of a line or head whose end hasn't been received.
        self._pending = bytearray()
        self._remaining_bytes = 0

    @property
    def is_between_requests(self) -> bool:
        """Return whether no part of a further request has been received."""
        if self._state is FramingState.INVALID:
            return True
        return self._state is FramingState.HEAD and not self._pending

    @property
    def is_in_text(self) -> bool:
        """Return whether a head or trailer has begun and isn't complete."""
        return self._state is FramingState.TRAILER or (
            self._state is FramingState.HEAD and bool(self._pending)
        )

    @property
    def is_invalid(self) -> bool:
        """Return whether the bytes received last belong to no request."""
        return self._state is FramingState.INVALID

    @property
    def text_cost(self) -> int:
        """Return what an incomplete head or trailer counts for, in bytes."""
        if self._state in (FramingState.HEAD, FramingState.TRAILER):
            return self._line_bytes + FIELD_BYTES * self._fields
        return 0

    def stop(self) -> None:
        """Count no further requests."""
        self._state = FramingState.INVALID
        self._pending.clear()

    def feed(self, data: bytes) -> list[int]:
        """Process bytes in the order in which they are received.

        The time is proportional to their number, whatever pieces they come in.

        :returns: the positions in ``data`` behind each request that it completes.
        """
        position = 0
        ends = []
        while position < len(data) and self._state is not FramingState.INVALID:
            completed = self.completed
            if self._state in (FramingState.BODY, FramingState.CHUNK):
                position = self._skip(data, position)
            else:
                position = self._read_text(data, position)
            if self.completed > completed:
                ends.append(position)
        return ends

    def _skip(self, data: bytes, position: int) -> int:
        skipped = min(len(data) - position, self._remaining_bytes)
        self._remaining_bytes -= skipped
        if not self._remaining_bytes:
            if self._state is FramingState.CHUNK:
                self._state = FramingState.CHUNK_SIZE
            else:
                self._complete()
        return position + skipped

    def _read_text(self, data: bytes, position: int) -> int:
        """Process a head or line, and return the position behind it."""
        is_head = self._state is FramingState.HEAD
        if is_head and not self._pending:
            empty_lines = EMPTY_LINES.match(data, position)
            assert empty_lines is not None
            self._empty_bytes += empty_lines.end() - position
            position = empty_lines.end()
            if self._empty_bytes > self._max_text_bytes:
                self._exceed(CallerFault.EMPTY_LINES)
            if self._state is FramingState.INVALID or position == len(data):
                return len(data)
        end = LINE_END if self._state is FramingState.CHUNK_SIZE else HEAD_END
        text_end = self._find_text_end(data, position, end)
        read_end = len(data) if text_end < 0 else text_end
        self._line_bytes += read_end - position
        self._fields += data.count(LINE_END, position, read_end)
        if self._check_size():
            return len(data)
        if text_end < 0:
            self._pending += data[position:]
            if not is_head:
                del self._pending[MAX_LINE_START_BYTES:-3]
            return len(data)
        text = data[position:text_end]
        if self._pending:
            text = bytes(self._pending) + text
            self._pending.clear()
        self._process_text(text[: -len(end)])
        return text_end

    def _check_size(self) -> bool:
        """Return whether the bytes of a head or line exceed their limit."""
        if self._state is FramingState.CHUNK_SIZE:
            size = self._extension_bytes + self._line_bytes - PLAIN_SIZE_LINE_BYTES
            if size > self._max_text_bytes + self._data_bytes:
                self._exceed(CallerFault.EXTENSIONS_TOO_LARGE)
        elif self._line_bytes > self._max_text_bytes:
            is_head = self._state is FramingState.HEAD
            self._exceed(
                CallerFault.HEAD_TOO_LARGE if is_head else CallerFault.TRAILER_TOO_LARGE
            )
        return self._state is FramingState.INVALID

    def _exceed(self, fault: CallerFault) -> None:
        self.fault = fault
        self.stop()

    def _find_text_end(self, data: bytes, position: int, end: bytes) -> int:
        """Return the position behind the end of a head or line, or -1."""
        if self._pending:
            # The end may have begun in the pending bytes.
            overlap = bytes(self._pending[1 - len(end) :])
            border = overlap + data[position : position + len(end) - 1]
            found = border.find(end)
            if found >= 0:
                return position + found + len(end) - len(overlap)
        found = data.find(end, position)
        return found + len(end) if found >= 0 else -1

    def _process_text(self, text: bytes) -> None:
        line_bytes, self._line_bytes = self._line_bytes, 0
        fields, self._fields = self._fields, 0
        match self._state:
            case FramingState.HEAD:
                self.head_costs.append(line_bytes + FIELD_BYTES * fields)
                self._empty_bytes = self._extension_bytes = self._data_bytes = 0
                self._start_body(text)
            case FramingState.CHUNK_SIZE:
                self._extension_bytes += max(0, line_bytes - PLAIN_SIZE_LINE_BYTES)
                self._start_chunk(text)
            case _:
                self._complete()

    def _start_body(self, head: bytes) -> None:
        if head.startswith(PREFACE_METHOD):
            self._state = FramingState.INVALID
            return
        values_by_name = {}
        for line in head.split(LINE_END)[1:]:
            name, _, value = line.partition(b":")
            values_by_name[name.strip().lower()] = value.strip().lower()
        if b"chunked" in values_by_name.get(b"transfer-encoding", b""):
            self._state = FramingState.CHUNK_SIZE
            return
        length = values_by_name.get(b"content-length", b"0")
        digits = length.lstrip(b"0")
        if not length.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
            self._state = FramingState.INVALID
        elif digits:
            self._state = FramingState.BODY
            self._remaining_bytes = int(digits)
        else:
            self._complete()

    def _start_chunk(self, line: bytes) -> None:
        digits = CHUNK_SIZE.match(line)
        if digits is None:
            self._state = FramingState.INVALID
            return
        size = int(digits[0], 16)
        if size:
            self._state = FramingState.CHUNK
            self._remaining_bytes = size + len(LINE_END)
            self._data_bytes += size
        else:
            self._state = FramingState.TRAILER
            # An empty line ends the trailer, which may be its first one.
            self._pending += LINE_END

    def _complete(self) -> None:
        self.completed += 1
        self._state = FramingState.HEAD
