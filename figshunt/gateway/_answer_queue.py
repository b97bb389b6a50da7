"""Buffers the parts of one response between the core and the caller's connection."""

import asyncio
from collections import deque

from figshunt.dispatch import AnswerEffect, AnswerEvent

# A caller that falls this far behind the runner's output is disconnected.
MAX_QUEUED_BYTES = 1024 * 1024


class AnswerQueue:
    """A queue of response parts that reports when its size limit is exceeded."""

    def __init__(self) -> None:
        self._effects: deque[AnswerEffect] = deque()
        self._part_added = asyncio.Event()
        self._queued_bytes = 0

    def put(self, effect: AnswerEffect) -> bool:
        """Append a effect and return whether the queue is within its size limit."""
        if isinstance(effect, AnswerEvent):
            self._queued_bytes += len(effect.data)
        self._effects.append(effect)
        self._part_added.set()
        return self._queued_bytes <= MAX_QUEUED_BYTES

    async def get(self) -> AnswerEffect:
        """Wait for the next effect and return it, with queued events joined."""
        while not self._effects:
            self._part_added.clear()
            await self._part_added.wait()
        effect = self._effects.popleft()
        if not isinstance(effect, AnswerEvent):
            return effect
        chunks = [effect.data]
        while self._effects and isinstance(
            next_effect := self._effects[0], AnswerEvent
        ):
            chunks.append(next_effect.data)
            self._effects.popleft()
        data = b"".join(chunks)
        self._queued_bytes -= len(data)
        return AnswerEvent(effect.call_id, data)
