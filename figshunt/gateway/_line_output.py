"""Standard output that never blocks the loop."""

import asyncio
import os
from collections import deque

# Lines a second that are written; the others are counted and left out. A line
# has about 200 bytes, so this is at most 80 KB a second.
MOST_LINES_PER_S = 400
MOST_WAITING_BYTES = 256 * 1024
INTERVAL_S = 1.0


class LineOutput:
    """A text output that drops lines when too many come or nobody reads."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._lines_left = MOST_LINES_PER_S
        self._dropped = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_watching = False

    def attach(self, loop: asyncio.AbstractEventLoop) -> None:
        """Write without blocking from now on."""
        os.set_blocking(self._descriptor, False)
        self._loop = loop
        loop.call_later(INTERVAL_S, self._start_interval)

    def write(self, text: str) -> int:
        """Take one line."""
        data = text.encode()
        is_full = self._waiting_bytes + len(data) > MOST_WAITING_BYTES
        if self._lines_left <= 0 or is_full:
            self._dropped += 1
            return len(text)
        self._lines_left -= 1
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes; the rest waits."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written == len(data):
                self._waiting.popleft()
            else:
                self._waiting[0] = data[written:]

    def _watch(self) -> None:
        if self._loop is not None and not self._is_watching:
            self._is_watching = True
            self._loop.add_writer(self._descriptor, self._writable)

    def _writable(self) -> None:
        assert self._loop is not None
        self._is_watching = False
        self._loop.remove_writer(self._descriptor)
        self.flush()

    def _start_interval(self) -> None:
        assert self._loop is not None
        self._lines_left = MOST_LINES_PER_S
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.write(f"level=warning event=log_lines_left_out lines={dropped}\n")
            self.flush()
        self._loop.call_later(INTERVAL_S, self._start_interval)
