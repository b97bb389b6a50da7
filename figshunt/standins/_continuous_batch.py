"""Continuous batching: every step yields one token of each running request."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from figshunt.standins._runner_state import RunnerState


@dataclass(frozen=True)
class BatchProfile:
    """How long a step takes and how many requests run at once.

    A step takes ``token_ms`` plus ``token_ms_per_request`` for each request
    that gets a token, plus at most ``prefill_chunk_ms`` of prompt work.
    """

    token_ms: float = 10.0
    token_ms_per_request: float = 1.0
    prefill_chunk_ms: float = 8.0
    batch_limit: int = 16


@dataclass(slots=True, eq=False)
class BatchEntry:
    """One request in the engine; token ``next_index`` is its next one."""

    priority: int
    order: int
    prefill_ms: float
    next_index: int
    end_index: int
    generated: int = 0
    ready: asyncio.Queue[int] = field(default_factory=asyncio.Queue)

    async def tokens(self) -> AsyncIterator[int]:
        """Yield the index of each token as it is generated."""
        for _ in range(self.next_index, self.end_index):
            yield await self.ready.get()


class ContinuousBatch:
    """Decides who runs and paces the tokens.

    The lowest priority number enters first, and equal ones in order of
    arrival. A request that runs isn't displaced.
    """

    def __init__(self, profile: BatchProfile, state: RunnerState) -> None:
        self._profile = profile
        self._state = state
        self._waiting: list[BatchEntry] = []
        self._running: list[BatchEntry] = []
        self._arrived = asyncio.Event()
        self._orders = 0

    def add(
        self, priority: int, prefill_ms: float, next_index: int, end_index: int
    ) -> BatchEntry:
        """Queue a request."""
        self._orders += 1
        entry = BatchEntry(priority, self._orders, prefill_ms, next_index, end_index)
        self._waiting.append(entry)
        self._state.queued = len(self._waiting)
        self._arrived.set()
        return entry

    def remove(self, entry: BatchEntry) -> None:
        """Take out a request that finished or was cancelled."""
        for entries in (self._waiting, self._running):
            if entry in entries:
                entries.remove(entry)
        self._state.queued = len(self._waiting)

    def clear(self) -> None:
        """Forget all requests."""
        self._waiting.clear()
        self._running.clear()
        self._state.queued = 0

    async def run(self) -> None:
        """Run steps for ever; sleeps while there is no request."""
        while True:
            if not self._waiting and not self._running:
                self._arrived.clear()
                await self._arrived.wait()
            self._admit()
            decoding = [one for one in self._running if one.prefill_ms <= 0]
            step_ms = self._prefill_one() + self._decode_ms(len(decoding))
            await asyncio.sleep(step_ms * self._state.slow_factor / 1000)
            for entry in decoding:
                if entry in self._running:
                    self._generate(entry)

    def _admit(self) -> None:
        free = self._profile.batch_limit - len(self._running)
        if free <= 0 or not self._waiting:
            return
        self._waiting.sort(key=lambda one: (one.priority, one.order))
        self._running += self._waiting[:free]
        del self._waiting[:free]
        self._state.queued = len(self._waiting)

    def _prefill_one(self) -> float:
        for entry in self._running:
            if entry.prefill_ms > 0:
                chunk_ms = min(entry.prefill_ms, self._profile.prefill_chunk_ms)
                entry.prefill_ms -= chunk_ms
                return chunk_ms
        return 0.0

    def _decode_ms(self, decoding: int) -> float:
        if not decoding:
            return 0.0
        profile = self._profile
        token_ms = profile.token_ms + profile.token_ms_per_request * decoding
        token_us = token_ms * self._state.slow_factor * 1000
        self._state.token_time_us = int(token_us)
        return token_ms

    def _generate(self, entry: BatchEntry) -> None:
        entry.ready.put_nowait(entry.next_index)
        entry.next_index += 1
        entry.generated += 1
        self._state.totals.tokens_generated += 1
        if entry.next_index >= entry.end_index:
            self._running.remove(entry)
