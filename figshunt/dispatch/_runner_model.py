"""How long a runner will take, from what all hosts have sent to it."""

from dataclasses import dataclass, field
from math import exp

from figshunt.dispatch._prefix_memory import PrefixMemory
from figshunt.dispatch._reading_queue import ReadingQueue
from figshunt.types import AttemptId, RunnerId

# Prompt tokens that an engine reads in one ms and the time to the first token
# of an empty prompt; priors, corrected for each runner by what is observed.
PRIOR_READ_TOKENS_PER_MS = 46.0
PRIOR_FIRST_MS = 35.0

# Time that an engine takes to compare a million pairs of tokens of a prompt; a
# prior. It doubles the time for prompts of some tens of thousands of tokens.
PRIOR_PAIRS_MS_PER_MILLION = 0.5

# Time of one step of an engine that reads no prompt; a prior.
PRIOR_STEP_MS = 6.0

# Engines read long prompts in pieces of about this size, one with each step,
# so this bounds the delay that reading adds to one step.
READ_CHUNK_TOKENS = 2048

# Weight of a new observation in the averages.
OBSERVATION_WEIGHT = 0.15
FAILURE_WEIGHT = 0.1

# After this time half of an observed failure share or slowness is forgotten,
# so that a runner that is avoided gets work again.
FORGET_HALF_MS = 3_000

# The share of time spent reading is averaged over about this time.
READING_WINDOW_MS = 4_000

# Prompts that take this long to read stall the streams beside them; of a shorter
# one only a part counts, as little as it takes, since several must coincide.
LONG_READ_MS = 80

# A runner is silent once this many sends got no byte for this long while no
# other send got one either. Some requests alone take longer than a short time
# limit of their route.
SILENCE_MS = 250
SILENT_SENDS = 2

SLOWNESS_BOUNDS = (0.5, 12.0)


@dataclass(slots=True)
class StreamShare:
    """Streams of one gap target that this host believes to run."""

    ends_ms: list[int] = field(default_factory=list)

    def count(self, now_ms: int) -> int:
        """Return how many still run, forgetting the others."""
        self.ends_ms = [end for end in self.ends_ms if end > now_ms]
        return len(self.ends_ms)


@dataclass(frozen=True, slots=True)
class PartFetch:
    """Parts of a prompt that a runner gets from another one."""

    holder_id: RunnerId
    tokens: int


class RunnerModel:
    """One host's picture of one runner."""

    def __init__(self, kv_tokens: int) -> None:
        self.prefixes = PrefixMemory(kv_tokens)
        self.queue = ReadingQueue()
        self.running: dict[AttemptId, PartFetch | None] = {}
        self.streams_by_gap_ms: dict[int, StreamShare] = {}
        self.slowness = 1.0
        self.cold_until_ms = 0
        self.excluded_until_ms = 0
        self.exclusions = 0
        self._heard_ms = 0
        self._silences = 0
        self.lends_from_ms = 0
        self._reading_share = 0.0
        self._stalling_share = 0.0
        self._failure_share = 0.0
        self._seen_ms = 0

    def read_ms(self, tokens: int, context_tokens: int = 0) -> float:
        """Return how long the runner takes to read ``tokens``.

        Each piece takes a step of the engine, and each token is compared with
        all that come before it, ``context_tokens`` of other parts included.
        """
        pairs = tokens * (context_tokens + tokens / 2)
        reading_ms = (
            tokens / PRIOR_READ_TOKENS_PER_MS
            + tokens / READ_CHUNK_TOKENS * PRIOR_STEP_MS
            + pairs / 1_000_000 * PRIOR_PAIRS_MS_PER_MILLION
        )
        return reading_ms * self.slowness

    def reading_share(self, now_ms: int) -> float:
        """Return the recent share of time spent reading prompts."""
        self._age(now_ms)
        return self._reading_share

    def stalling_share(self, now_ms: int) -> float:
        """Return the recent share of time spent reading long prompts."""
        self._age(now_ms)
        return self._stalling_share

    def failure_share(self, now_ms: int) -> float:
        """Return the recent share of requests that the runner failed."""
        self._age(now_ms)
        return self._failure_share

    def count_streams(self, most_gap_ms: int, now_ms: int) -> int:
        """Return how many streams run whose gap target is at most that long."""
        return sum(
            share.count(now_ms)
            for gap_ms, share in self.streams_by_gap_ms.items()
            if gap_ms <= most_gap_ms
        )

    def add(
        self,
        read_tokens: int,
        gap_target_ms: int,
        expected_ms: int,
        now_ms: int,
        attempt_id: AttemptId | None = None,
        context_tokens: int = 0,
    ) -> int:
        """Count a request that this host or a peer sends.

        :param attempt_id: the send, if it is one of this host.
        :returns: when the runner is expected to have read its prompt.
        """
        self._age(now_ms)
        reading_ms = self.read_ms(read_tokens, context_tokens)
        self._reading_share += reading_ms / READING_WINDOW_MS
        self._stalling_share += stalling_ms(reading_ms) / READING_WINDOW_MS
        if gap_target_ms:
            share = self.streams_by_gap_ms.setdefault(gap_target_ms, StreamShare())
            share.ends_ms.append(now_ms + expected_ms)
        return self.queue.add(reading_ms, now_ms, attempt_id)

    def observe_first(self, waited_ms: int, expected_ms: float) -> None:
        """Correct the slowness by the time that a first event took."""
        ratio = self.slowness * waited_ms / max(expected_ms, 1.0)
        weight = OBSERVATION_WEIGHT
        low, high = SLOWNESS_BOUNDS
        mixed = (1 - weight) * self.slowness + weight * ratio
        self.slowness = min(high, max(low, mixed))

    def hear(self, now_ms: int) -> None:
        """Note that the runner answers."""
        self._heard_ms = now_ms
        self._silences = 0
        self.exclusions = 0

    def note_silence(self, since_ms: int, now_ms: int) -> bool:
        """Count a send that was given up; return whether the runner is silent."""
        if now_ms - since_ms < SILENCE_MS or self._heard_ms > since_ms:
            return False
        self._silences += 1
        return self._silences >= SILENT_SENDS

    def observe_result(self, failed: bool, now_ms: int) -> None:
        """Correct the failure share by the end of one send."""
        self._age(now_ms)
        target = 1.0 if failed else 0.0
        self._failure_share += FAILURE_WEIGHT * (target - self._failure_share)

    def may_be_tried(self, now_ms: int) -> bool:
        """Return whether the runner may get a call while there are others.

        One that hasn't been heard since it was excluded gets one at a time.
        """
        if self.excluded_until_ms > now_ms:
            return False
        return not self.exclusions or not self.running

    def exclude(self, until_ms: int) -> None:
        """Send nothing to the runner until then, unless there is no other."""
        self.excluded_until_ms = max(self.excluded_until_ms, until_ms)
        self.exclusions += 1

    def restart(self, cold_until_ms: int, kv_tokens: int) -> None:
        """Forget what belonged to the runner's former process."""
        self.prefixes = PrefixMemory(kv_tokens)
        self.streams_by_gap_ms = {}
        self.cold_until_ms = max(self.cold_until_ms, cold_until_ms)
        self.slowness = 1.0
        self.queue = ReadingQueue()
        self._failure_share = 0.0

    def _age(self, now_ms: int) -> None:
        passed_ms = now_ms - self._seen_ms
        if passed_ms <= 0:
            return
        self._seen_ms = now_ms
        kept = 0.5 ** (passed_ms / FORGET_HALF_MS)
        self._failure_share *= kept
        self.slowness = 1.0 + (self.slowness - 1.0) * kept**0.25
        faded = exp(-passed_ms / READING_WINDOW_MS)
        self._reading_share *= faded
        self._stalling_share *= faded


def stalling_ms(reading_ms: float) -> float:
    """Return how much of the time that a prompt is read stalls streams."""
    return reading_ms * min(1.0, reading_ms / LONG_READ_MS)
