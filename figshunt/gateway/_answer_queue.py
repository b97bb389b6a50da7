"""The parts of one answer on their way from the core to the caller."""

import asyncio
from collections import deque

from figshunt.dispatch import AnswerEvent, AnswerPart

# A caller that reads this much more slowly than its runner writes is cut off.
MOST_WAITING_BYTES = 1024 * 1024


class AnswerQueue:
    """A queue of answer parts with a bound on the bytes that wait in it."""

    def __init__(self) -> None:
        self._parts: deque[AnswerPart] = deque()
        self._arrived = asyncio.Event()
        self._waiting_bytes = 0

    def put(self, part: AnswerPart) -> bool:
        """Add a part; return whether the caller keeps up."""
        if isinstance(part, AnswerEvent):
            self._waiting_bytes += len(part.data)
        self._parts.append(part)
        self._arrived.set()
        return self._waiting_bytes <= MOST_WAITING_BYTES

    async def get(self) -> AnswerPart:
        """Return the next part; events that wait together are joined."""
        while not self._parts:
            self._arrived.clear()
            await self._arrived.wait()
        part = self._parts.popleft()
        if not isinstance(part, AnswerEvent):
            return part
        joined = [part.data]
        while self._parts and isinstance(following := self._parts[0], AnswerEvent):
            joined.append(following.data)
            self._parts.popleft()
        data = b"".join(joined)
        self._waiting_bytes -= len(data)
        return AnswerEvent(part.call_id, data)
