"""Bounded queue of encoded messages to one peer."""

import asyncio
from collections import deque


class SendQueue:
    """Holds messages until they are sent; drops the oldest when full.

    The newest state matters most to a peer, and everything that must arrive
    is repeated by its sender until it is answered.
    """

    def __init__(self, most_messages: int, most_bytes: int) -> None:
        self._most_messages = most_messages
        self._most_bytes = most_bytes
        self._messages: deque[bytes] = deque()
        self._arrived = asyncio.Event()
        self._emptied = asyncio.Event()
        self._emptied.set()
        self.waiting_bytes = 0
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, data: bytes) -> None:
        """Add a message; a message that can never fit is dropped itself."""
        if len(data) > self._most_bytes:
            self.dropped += 1
            return
        self._messages.append(data)
        self.waiting_bytes += len(data)
        while (
            len(self._messages) > self._most_messages
            or self.waiting_bytes > self._most_bytes
        ):
            self._take()
            self.dropped += 1
        self._emptied.clear()
        self._arrived.set()

    async def get(self) -> bytes:
        """Return the next message, waiting for it if there is none."""
        while not self._messages:
            self._arrived.clear()
            await self._arrived.wait()
        return self._take()

    async def wait_empty(self) -> None:
        """Wait until the last message was taken or forgotten."""
        await self._emptied.wait()

    def clear(self) -> None:
        """Forget all messages that wait; they count as dropped."""
        self.dropped += len(self._messages)
        self._messages.clear()
        self.waiting_bytes = 0
        self._emptied.set()

    def _take(self) -> bytes:
        data = self._messages.popleft()
        self.waiting_bytes -= len(data)
        if not self._messages:
            self._emptied.set()
        return data
