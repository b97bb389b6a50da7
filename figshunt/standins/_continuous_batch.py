"""Continuous batching: a step generates a token for each decoding request."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from figshunt.standins._runner_state import RunnerState


@dataclass(frozen=True)
class BatchProfile:
    """The duration of a step and the size of the batch.

    A step takes ``token_ms`` plus ``token_ms_per_request`` for each request
    that is decoding, or nothing for decoding if there is none. It also spends
    up to ``prefill_chunk_ms`` on the prefill of one other request.
    """

    token_ms: float = 10.0
    token_ms_per_request: float = 1.0
    prefill_chunk_ms: float = 8.0
    batch_limit: int = 16


@dataclass(slots=True, eq=False)
class BatchEntry:
    """One waiting or running request; ``next_index`` is the next token to generate."""

    priority: int
    arrival_number: int
    prefill_ms: float
    next_index: int
    end_index: int
    generated_tokens: int = 0
    generated_indexes: asyncio.Queue[int] = field(default_factory=asyncio.Queue)

    async def tokens(self) -> AsyncIterator[int]:
        """Yield the index of each token as it is generated."""
        for _ in range(self.next_index, self.end_index):
            yield await self.generated_indexes.get()


class ContinuousBatch:
    """Schedules requests into the batch and generates their tokens step by step.

    Waiting requests enter the batch by ascending priority number and, at equal
    priority, in order of arrival. Running requests aren't preempted.
    """

    def __init__(self, profile: BatchProfile, state: RunnerState) -> None:
        self._profile = profile
        self._state = state
        self._waiting: list[BatchEntry] = []
        self._running: list[BatchEntry] = []
        self._entry_added = asyncio.Event()
        self._last_arrival_number = 0

    def add(
        self, priority: int, prefill_ms: float, next_index: int, end_index: int
    ) -> BatchEntry:
        """Add a request to the queue."""
        self._last_arrival_number += 1
        entry = BatchEntry(
            priority, self._last_arrival_number, prefill_ms, next_index, end_index
        )
        self._waiting.append(entry)
        self._state.queued = len(self._waiting)
        self._entry_added.set()
        return entry

    def remove(self, entry: BatchEntry) -> None:
        """Remove a request that has finished or was cancelled."""
        for entries in (self._waiting, self._running):
            if entry in entries:
                entries.remove(entry)
        self._state.queued = len(self._waiting)

    def clear(self) -> None:
        """Remove all requests."""
        self._waiting.clear()
        self._running.clear()
        self._state.queued = 0

    async def run(self) -> None:
        """Run steps until cancelled, and wait while there are no requests."""
        while True:
            if not self._waiting and not self._running:
                self._entry_added.clear()
                await self._entry_added.wait()
            self._admit()
            decoding_entries = [
                entry for entry in self._running if entry.prefill_ms <= 0
            ]
            step_ms = self._prefill_next() + self._decode_ms(len(decoding_entries))
            await asyncio.sleep(step_ms * self._state.slow_factor / 1000)
            for entry in decoding_entries:
                if entry in self._running:
                    self._generate(entry)

    def _admit(self) -> None:
        free_capacity = self._profile.batch_limit - len(self._running)
        if free_capacity <= 0 or not self._waiting:
            return
        self._waiting.sort(key=lambda entry: (entry.priority, entry.arrival_number))
        self._running += self._waiting[:free_capacity]
        del self._waiting[:free_capacity]
        self._state.queued = len(self._waiting)

    def _prefill_next(self) -> float:
        for entry in self._running:
            if entry.prefill_ms > 0:
                chunk_ms = min(entry.prefill_ms, self._profile.prefill_chunk_ms)
                entry.prefill_ms -= chunk_ms
                return chunk_ms
        return 0.0

    def _decode_ms(self, entry_count: int) -> float:
        if not entry_count:
            return 0.0
        profile = self._profile
        token_ms = profile.token_ms + profile.token_ms_per_request * entry_count
        token_us = token_ms * self._state.slow_factor * 1000
        self._state.token_time_us = int(token_us)
        return token_ms

    def _generate(self, entry: BatchEntry) -> None:
        entry.generated_indexes.put_nowait(entry.next_index)
        entry.next_index += 1
        entry.generated_tokens += 1
        self._state.totals.tokens_generated += 1
        if entry.next_index >= entry.end_index:
            self._running.remove(entry)
