"""The parts of one answer on their way from the core to the caller."""

import asyncio
from collections import deque

from figshunt.types import EndAnswer, FailAnswer, SendAnswer, StartAnswer

AnswerPart = StartAnswer | SendAnswer | EndAnswer | FailAnswer


class AnswerStream:
    """A queue of answer parts with a count of the bytes that wait in it."""

    def __init__(self, transport: asyncio.Transport | None = None) -> None:
        self._transport = transport
        self._parts: deque[AnswerPart] = deque()
        self._arrived = asyncio.Event()
        self.waiting_bytes = 0

    def put(self, part: AnswerPart) -> None:
        """Add a part and wake the reader."""
        if isinstance(part, SendAnswer):
            self.waiting_bytes += len(part.data)
        self._parts.append(part)
        self._arrived.set()

    def cut_off(self) -> None:
        """Reset the caller's connection; its handler is then cancelled."""
        if self._transport is not None:
            self._transport.abort()

    async def get(self) -> AnswerPart:
        """Return the next part, waiting for it if there is none."""
        while not self._parts:
            self._arrived.clear()
            await self._arrived.wait()
        part = self._parts.popleft()
        if isinstance(part, SendAnswer):
            self.waiting_bytes -= len(part.data)
        return part
