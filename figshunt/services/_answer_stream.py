"""Queue of the core's answer effects for one request."""

import asyncio
from collections import deque

from figshunt.types import EndAnswer, FailAnswer, SendAnswer, StartAnswer

AnswerEffect = StartAnswer | SendAnswer | EndAnswer | FailAnswer


class AnswerStream:
    """Answer effects of one request that are not yet written to the caller.

    ``queued_bytes`` counts the body bytes in the queue.
    """

    def __init__(self, transport: asyncio.Transport | None = None) -> None:
        self._transport = transport
        self._effects: deque[AnswerEffect] = deque()
        self._effect_available = asyncio.Event()
        self.queued_bytes = 0

    def put(self, effect: AnswerEffect) -> None:
        """Append an effect and wake the reader."""
        if isinstance(effect, SendAnswer):
            self.queued_bytes += len(effect.data)
        self._effects.append(effect)
        self._effect_available.set()

    def abort_connection(self) -> None:
        """Reset the caller's connection, which cancels its request handler."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether earlier writes may still be in the transport's buffer."""
        return self._transport is None or self._transport.get_write_buffer_size() > 0

    async def get(self) -> AnswerEffect:
        """Return the next effect, waiting until one is available.

        Consecutive data effects in the queue are merged into one.
        """
        while not self._effects:
            self._effect_available.clear()
            await self._effect_available.wait()
        effect = self._effects.popleft()
        if not isinstance(effect, SendAnswer):
            return effect
        chunks = [effect.data]
        while self._effects and isinstance(next_effect := self._effects[0], SendAnswer):
            chunks.append(next_effect.data)
            self._effects.popleft()
        data = b"".join(chunks)
        self.queued_bytes -= len(data)
        return SendAnswer(effect.request_id, data)
