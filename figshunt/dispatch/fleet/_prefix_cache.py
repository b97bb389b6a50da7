"""Models which prompt parts are in the KV cache of a runner."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from figshunt.dispatch._call import PartId, PromptPart

# Share of the KV cache that is assumed to hold parts of past prompts. Running
# requests use the rest.
CACHE_SHARE = 0.6


class RecentParts:
    """The times at which prompt parts were last sent to any runner."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._used_ms_by_part: OrderedDict[PartId, int] = OrderedDict()

    def recent_tokens(self, parts: Sequence[PromptPart], now_ms: int) -> int:
        """Return how many leading tokens were sent within the window."""
        oldest_ms = now_ms - self._window_ms
        recent_tokens = 0
        for part in parts:
            if self._used_ms_by_part.get(part.part_id, oldest_ms) <= oldest_ms:
                break
            recent_tokens += part.tokens
        return recent_tokens

    def record(self, parts: Sequence[PromptPart], now_ms: int) -> None:
        """Record the parts as sent now, and remove those outside the window."""
        for part in parts:
            self._used_ms_by_part.pop(part.part_id, None)
            self._used_ms_by_part[part.part_id] = now_ms
        oldest_ms = now_ms - self._window_ms
        while next(iter(self._used_ms_by_part.values()), now_ms) <= oldest_ms:
            self._used_ms_by_part.popitem(last=False)


@dataclass(frozen=True, slots=True)
class CachedPart:
    """A cached prompt part; other runners can fetch it from ``ready_ms`` on."""

    tokens: int
    ready_ms: int


class PrefixCache:
    """An LRU model of the prompt parts that a runner has cached.

    A part counts only if all parts before it are cached too, since engines
    cache prompts by their prefixes.
    """

    def __init__(self, kv_tokens: int) -> None:
        self._max_tokens = int(kv_tokens * CACHE_SHARE)
        self._cached_by_part: OrderedDict[PartId, CachedPart] = OrderedDict()
        self._cached_tokens = 0

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt the runner can reuse.

        Parts that are still waiting for prefill count, since the runner
        processes them before a request that is sent now.
        """
        cached_tokens = 0
        for part in parts:
            if part.part_id not in self._cached_by_part:
                break
            cached_tokens += part.tokens
        return cached_tokens

    def fetchable_tokens(self, parts: Sequence[PromptPart], now_ms: int) -> int:
        """Return how many leading tokens another runner can fetch now."""
        fetchable_tokens = 0
        for part in parts:
            cached_part = self._cached_by_part.get(part.part_id)
            if cached_part is None or cached_part.ready_ms > now_ms:
                break
            fetchable_tokens += part.tokens
        return fetchable_tokens

    def part_ids(self) -> Iterable[PartId]:
        """Return the cached parts."""
        return self._cached_by_part.keys()

    def record(self, parts: Sequence[PromptPart], ready_ms: int) -> list[PartId]:
        """Record the parts as just used, and evict the least recently used ones.

        The leading parts of a prompt are evicted last, since more prompts share
        them.

        :returns: the evicted parts.
        """
        for part in reversed(parts):
            previous = self._cached_by_part.pop(part.part_id, None)
            if previous is not None:
                self._cached_tokens -= previous.tokens
            part_ready_ms = min(ready_ms, previous.ready_ms) if previous else ready_ms
            self._cached_by_part[part.part_id] = CachedPart(part.tokens, part_ready_ms)
            self._cached_tokens += part.tokens
        evicted_ids = []
        while self._cached_tokens > self._max_tokens and self._cached_by_part:
            part_id, evicted = self._cached_by_part.popitem(last=False)
            self._cached_tokens -= evicted.tokens
            evicted_ids.append(part_id)
        return evicted_ids
