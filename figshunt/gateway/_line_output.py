"""Writes log lines without blocking the event loop."""

import asyncio
import os
from collections import deque

# Lines above this rate are counted and dropped. A line has about 200 bytes, so the
# output is limited to about 80 KB a second.
MAX_LINES_PER_S = 400
MAX_BUFFERED_BYTES = 256 * 1024
RATE_INTERVAL_S = 1.0


class LineOutput:
    """A text output that drops lines above a rate limit or when its buffer is full."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffered_lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._remaining_lines = MAX_LINES_PER_S
        self._dropped_lines = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._has_writer = False

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Switch the descriptor to non-blocking mode and start the rate limit."""
        os.set_blocking(self._descriptor, False)
        self._loop = loop
        loop.call_later(RATE_INTERVAL_S, self._start_rate_interval)

    def write(self, text: str) -> int:
        """Buffer one line, or count it as dropped."""
        data = text.encode()
        is_full = self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES
        if self._remaining_lines <= 0 or is_full:
            self._dropped_lines += 1
            return len(text)
        self._remaining_lines -= 1
        self._buffered_lines.append(data)
        self._buffered_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write as much as the descriptor accepts and keep the rest buffered."""
        while self._buffered_lines:
            data = self._buffered_lines[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._wait_until_writable()
                return
            except OSError:
                # The reader has closed the output, so there is nowhere to log it.
                self._buffered_lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written == len(data):
                self._buffered_lines.popleft()
            else:
                self._buffered_lines[0] = data[written:]

    def _wait_until_writable(self) -> None:
        if self._loop is not None and not self._has_writer:
            self._has_writer = True
            self._loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        assert self._loop is not None
        self._has_writer = False
        self._loop.remove_writer(self._descriptor)
        self.flush()

    def _start_rate_interval(self) -> None:
        assert self._loop is not None
        self._remaining_lines = MAX_LINES_PER_S
        if self._dropped_lines:
            dropped_lines, self._dropped_lines = self._dropped_lines, 0
            self.write(
                f"level=warning event=log_lines_left_out lines={dropped_lines}\n"
            )
            self.flush()
        self._loop.call_later(RATE_INTERVAL_S, self._start_rate_interval)
