"""Finds where the requests on a connection end."""

import re
from enum import Enum

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
# digits; the extensions behind it have no limit, nor does the parser limit them.
MAX_LINE_START_BYTES = 64


class FramingState(Enum):
    """The part of a request to which the next byte belongs.

    After ``INVALID`` bytes the HTTP parser ends the connection.
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
    has arrived. The framing follows RFC 9112, sections 6 and 7.1. ``completed`` is the
    number of whole requests.
    """

    def __init__(self) -> None:
        self.completed = 0
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
    def pending_bytes(self) -> int:
        """Return the size of what is kept of an incomplete head or line."""
        return len(self._pending)

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
            position = empty_lines.end()
        end = HEAD_END if is_head else LINE_END
        text_end = self._find_text_end(data, position, end)
        if text_end < 0:
            self._pending += data[position:]
            if not is_head:
                del self._pending[MAX_LINE_START_BYTES:-1]
            return len(data)
        text = data[position:text_end]
        if self._pending:
            text = bytes(self._pending) + text
            self._pending.clear()
        self._process_text(text[: -len(end)])
        return text_end

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
        match self._state:
            case FramingState.HEAD:
                self._start_body(text)
            case FramingState.CHUNK_SIZE:
                self._start_chunk(text)
            case _ if not text:
                # An empty line ends the trailer.
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
        else:
            self._state = FramingState.TRAILER

    def _complete(self) -> None:
        self.completed += 1
        self._state = FramingState.HEAD
