"""Bounded queue of encoded messages for one peer."""

import asyncio
from collections import deque


class SendQueue:
    """Queues messages for sending and drops the oldest when full.

    Newer state supersedes older state, and the sender of a message that must
    arrive repeats it until it gets a reply.
    """

    def __init__(self, max_messages: int, max_bytes: int) -> None:
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._messages: deque[bytes] = deque()
        self._message_available = asyncio.Event()
        self._empty_event = asyncio.Event()
        self._empty_event.set()
        self.queued_bytes = 0
        self.dropped_messages = 0

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, data: bytes) -> None:
        """Append a message, or drop it if it alone exceeds the byte limit."""
        if len(data) > self._max_bytes:
            self.dropped_messages += 1
            return
        self._messages.append(data)
        self.queued_bytes += len(data)
        while (
            len(self._messages) > self._max_messages
            or self.queued_bytes > self._max_bytes
        ):
            self._pop()
            self.dropped_messages += 1
        self._empty_event.clear()
        self._message_available.set()

    async def get(self) -> bytes:
        """Return the next message, waiting until one is available."""
        while not self._messages:
            self._message_available.clear()
            await self._message_available.wait()
        return self._pop()

    async def wait_empty(self) -> None:
        """Wait until all messages have been removed by ``get`` or ``clear``."""
        await self._empty_event.wait()

    def clear(self) -> None:
        """Remove all queued messages and count them as dropped."""
        self.dropped_messages += len(self._messages)
        self._messages.clear()
        self.queued_bytes = 0
        self._empty_event.set()

    def _pop(self) -> bytes:
        data = self._messages.popleft()
        self.queued_bytes -= len(data)
        if not self._messages:
            self._empty_event.set()
        return data
