"""What parts of prompts a runner is believed to hold."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from figshunt.dispatch._call import PartId, PromptPart

# Part of the runner's memory that is taken to hold parts of past prompts; the
# rest is used by requests that run.
CACHE_SHARE = 0.6


class PartUses:
    """When parts of prompts were last sent to any runner."""

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._used_ms_by_part: OrderedDict[PartId, int] = OrderedDict()

    def recent_tokens(self, parts: Sequence[PromptPart], now_ms: int) -> int:
        """Return how many leading tokens were used within the window."""
        oldest_ms = now_ms - self._window_ms
        recent = 0
        for part in parts:
            if self._used_ms_by_part.get(part.part_id, oldest_ms) <= oldest_ms:
                break
            recent += part.tokens
        return recent

    def record(self, parts: Sequence[PromptPart], now_ms: int) -> None:
        """Count the parts as used now, and forget those outside the window."""
        for part in parts:
            self._used_ms_by_part.pop(part.part_id, None)
            self._used_ms_by_part[part.part_id] = now_ms
        oldest_ms = now_ms - self._window_ms
        while next(iter(self._used_ms_by_part.values()), now_ms) <= oldest_ms:
            self._used_ms_by_part.popitem(last=False)


@dataclass(frozen=True, slots=True)
class HeldPart:
    """A part at a runner; others can fetch it from ``ready_ms`` on."""

    tokens: int
    ready_ms: int


class PrefixMemory:
    """The parts that were read last, up to the size of the runner's memory.

    A part counts only if all parts before it are held too, since engines
    cache prompts from their beginning.
    """

    def __init__(self, kv_tokens: int) -> None:
        self._most_tokens = int(kv_tokens * CACHE_SHARE)
        self._held_by_part: OrderedDict[PartId, HeldPart] = OrderedDict()
        self._held_tokens = 0

    def held_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return how many leading tokens of a prompt need not be read here.

        Parts that the runner has yet to read count: it reads them before a
        request that is sent now.
        """
        held = 0
        for part in parts:
            if part.part_id not in self._held_by_part:
                break
            held += part.tokens
        return held

    def ready_tokens(self, parts: Sequence[PromptPart], now_ms: int) -> int:
        """Return how many leading tokens another runner can fetch."""
        ready = 0
        for part in parts:
            held = self._held_by_part.get(part.part_id)
            if held is None or held.ready_ms > now_ms:
                break
            ready += part.tokens
        return ready

    def remember(self, parts: Sequence[PromptPart], ready_ms: int) -> None:
        """Count the parts as just used; the least recently used ones yield.

        Of one prompt the leading parts yield last, as more prompts share them.
        """
        for part in reversed(parts):
            known = self._held_by_part.pop(part.part_id, None)
            if known is not None:
                self._held_tokens -= known.tokens
            own_ready_ms = min(ready_ms, known.ready_ms) if known else ready_ms
            self._held_by_part[part.part_id] = HeldPart(part.tokens, own_ready_ms)
            self._held_tokens += part.tokens
        while self._held_tokens > self._most_tokens and self._held_by_part:
            _, yielding = self._held_by_part.popitem(last=False)
            self._held_tokens -= yielding.tokens
