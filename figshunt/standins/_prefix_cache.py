"""Prompt prefix cache of limited size, and the events that it publishes."""

import random
from collections import OrderedDict, deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

from figshunt.types import Clock

MAX_RETAINED_EVENTS = 4096


class CacheEventKind(Enum):
    """What happened to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"
    CLEARED = "cleared"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache; a gap in ``sequence`` means that events were lost."""

    sequence: int
    kind: CacheEventKind
    prefix: str
    occurred_ms: int


class PrefixCache:
    """Cache of prompt blocks that evicts the least recently used ones.

    A block is identified by the hash of the prompt up to the block's end.
    Events become visible ``lag_ms`` after the change; a random share of them,
    ``gap_share``, is dropped.
    """

    def __init__(
        self,
        max_blocks: int,
        clock: Clock,
        random_source: random.Random,
        lag_ms: int = 500,
        gap_share: float = 0.02,
    ) -> None:
        self._max_blocks = max_blocks
        self._clock = clock
        self._random = random_source
        self._lag_ms = lag_ms
        self._gap_share = gap_share
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._next_sequence = 0

    def count_cached(self, prefixes: Sequence[str]) -> int:
        """Return the number of cached leading blocks, and mark them as used."""
        for index, prefix in enumerate(prefixes):
            if prefix not in self._blocks:
                return index
            self._blocks.move_to_end(prefix)
        return len(prefixes)

    def store(self, prefixes: Sequence[str]) -> None:
        """Add the blocks, evicting the least recently used ones beyond the limit."""
        for prefix in prefixes:
            if prefix not in self._blocks:
                self._publish(CacheEventKind.STORED, prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._max_blocks:
            evicted_prefix, _ = self._blocks.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, evicted_prefix)

    def clear(self) -> None:
        """Remove all blocks, as a restart of the engine does."""
        self._blocks.clear()
        self._publish(CacheEventKind.CLEARED, "")

    def events_after(self, sequence: int) -> Iterator[CacheEvent]:
        """Yield the visible events after number ``sequence``, oldest first."""
        visible_until_ms = self._clock.now().monotonic_ms - self._lag_ms
        for event in tuple(self._events):
            if event.sequence > sequence and event.occurred_ms <= visible_until_ms:
                yield event

    def _publish(self, kind: CacheEventKind, prefix: str) -> None:
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._random.random() >= self._gap_share:
            now_ms = self._clock.now().monotonic_ms
            self._events.append(CacheEvent(sequence, kind, prefix, now_ms))
