"""Queue of the core's answer effects for one call."""

import asyncio
from collections import deque

from figshunt.dispatch import AnswerEffect, AnswerEvent
from figshunt.runtime import ReceiveBudget

# A caller that falls this far behind the runner's output is disconnected.
MAX_QUEUED_BYTES = 1024 * 1024


class AnswerQueue:
    """Answer effects of one call; reports when the queue exceeds its size limit.

    :param budget: limits the events in all queues, with those being written.
    """

    def __init__(self, budget: ReceiveBudget) -> None:
        self._share = budget.open_share()
        self._effects: deque[AnswerEffect] = deque()
        self._effect_available = asyncio.Event()
        self._queued_bytes = 0

    def put(self, effect: AnswerEffect) -> bool:
        """Append an effect and return whether the queue is within its size limits."""
        has_room = True
        if isinstance(effect, AnswerEvent):
            self._queued_bytes += len(effect.data)
            has_room = self._share.try_grow(len(effect.data))
        self._effects.append(effect)
        self._effect_available.set()
        return has_room and self._queued_bytes <= MAX_QUEUED_BYTES

    async def get(self) -> AnswerEffect:
        """Wait for the next effect and return it, with consecutive events joined.

        What the call before returned has been written by then.
        """
        self._share.keep(self._queued_bytes)
        while not self._effects:
            self._effect_available.clear()
            await self._effect_available.wait()
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

    def close(self) -> None:
        """Forget all effects."""
        self._share.close()
        self._effects.clear()
