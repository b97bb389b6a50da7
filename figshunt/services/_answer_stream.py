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

    @property
    def is_blocked(self) -> bool:
        """Return whether bytes written before haven't left this host."""
        return self._transport is None or self._transport.get_write_buffer_size() > 0

    async def get(self) -> AnswerPart:
        """Return the next part, waiting for it if there is none.

        Data parts that wait together are joined into one.
        """
        while not self._parts:
            self._arrived.clear()
            await self._arrived.wait()
        part = self._parts.popleft()
        if not isinstance(part, SendAnswer):
            return part
        joined = [part.data]
        while self._parts and isinstance(following := self._parts[0], SendAnswer):
            joined.append(following.data)
            self._parts.popleft()
        data = b"".join(joined)
        self.waiting_bytes -= len(data)
        return SendAnswer(part.request_id, data)
