"""Buffers the parts of one response between the core and the caller's connection."""

import asyncio
from collections import deque

from figshunt.dispatch import AnswerEvent, AnswerPart

# A caller that falls this far behind the runner's output is disconnected.
MAX_QUEUED_BYTES = 1024 * 1024


class AnswerQueue:
    """A queue of response parts that reports when its size limit is exceeded."""

    def __init__(self) -> None:
        self._parts: deque[AnswerPart] = deque()
        self._part_added = asyncio.Event()
        self._queued_bytes = 0

    def put(self, part: AnswerPart) -> bool:
        """Append a part and return whether the queue is within its size limit."""
        if isinstance(part, AnswerEvent):
            self._queued_bytes += len(part.data)
        self._parts.append(part)
        self._part_added.set()
        return self._queued_bytes <= MAX_QUEUED_BYTES

    async def get(self) -> AnswerPart:
        """Wait for the next part and return it, with queued events joined into one."""
        while not self._parts:
            self._part_added.clear()
            await self._part_added.wait()
        part = self._parts.popleft()
        if not isinstance(part, AnswerEvent):
            return part
        chunks = [part.data]
        while self._parts and isinstance(next_part := self._parts[0], AnswerEvent):
            chunks.append(next_part.data)
            self._parts.popleft()
        data = b"".join(chunks)
        self._queued_bytes -= len(data)
        return AnswerEvent(part.call_id, data)
