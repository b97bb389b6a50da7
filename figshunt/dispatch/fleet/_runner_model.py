"""Predicts how long a runner takes, from the requests that all hosts sent to it."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import exp

from figshunt.dispatch.fleet._engine_load import Demand, EngineLoad, PoolLoad
from figshunt.dispatch.fleet._prefill_queue import PrefillQueue
from figshunt.dispatch.fleet._prefix_cache import PrefixCache
from figshunt.dispatch.fleet._service_times import ServiceTimes
from figshunt.types import AttemptId, HostName, RunnerId

# Prefill rate of an engine and time to first token of an empty prompt. Both are
# priors that the observed slowness of a runner corrects.
PRIOR_PREFILL_TOKENS_PER_MS = 46.0
PRIOR_FIRST_MS = 35.0

# Prior for the attention time per million pairs of prompt tokens. It adds half to
# the prefill time of a prompt of 50,000 tokens and doubles it at about 100,000.
PRIOR_ATTENTION_MS_PER_MILLION_PAIRS = 0.5

# Prior for the duration of one decode step without prefill.
PRIOR_STEP_MS = 6.0

# Engines split the prefill of long prompts into chunks of about this size, one
# per step, which bounds the delay that prefill adds to one step.
PREFILL_CHUNK_TOKENS = 2048

# Weight of a new observation in the moving average of failures.
FAILURE_WEIGHT = 0.1

# Half-life of the failure share. It decays without new observations so that a
# runner that is avoided gets work again; the average slowness decays at a quarter of
# the rate.
HALF_LIFE_MS = 3_000

# Weight of a new observation in the moving average of slowness, and its bounds.
OBSERVATION_WEIGHT = 0.15
SLOWNESS_BOUNDS = (0.5, 12.0)

# Time constant of the average share of time spent on prefill.
PREFILL_WINDOW_MS = 4_000

# A prefill of at least this length stalls the other streams of the runner. A
# shorter one counts in proportion to its length, since only several together
# cause a stall.
LONG_PREFILL_MS = 80

# A runner is silent if this many attempts received no data for this long and no
# other attempt received any either. One attempt is not enough: some requests take
# longer than the short timeout of their route.
SILENCE_MS = 250
SILENT_ATTEMPTS = 2

# A runner that answered this host within this time is not left alone on the word of
# others: their connections to it may be at fault.
OWN_ANSWER_MS = 1_000

# This many hosts have to report a runner as silent within this time. One host may
# have lost its own connections.
SILENCE_REPORTS = 2
SILENCE_REPORT_MS = 3_000

# Share of a gap target that is reserved for transport.
GAP_HEADROOM = 0.15


@dataclass(slots=True)
class RunningStreams:
    """The expected ends of the running streams with the same gap target, as a heap."""

    ends_ms: list[int] = field(default_factory=list)

    def add(self, end_ms: int) -> None:
        """Add a stream."""
        heappush(self.ends_ms, end_ms)

    def count(self, now_ms: int) -> int:
        """Return how many streams still run, and remove the others."""
        while self.ends_ms and self.ends_ms[0] <= now_ms:
            heappop(self.ends_ms)
        return len(self.ends_ms)


@dataclass(frozen=True, slots=True)
class PrefixFetch:
    """Prompt tokens that a runner fetches from the cache of another one."""

    holder_id: RunnerId
    tokens: int


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt of this host in flight.

    ``demand`` is what it takes of an engine; ``fetch`` is set if the runner fetches
    a part of the prompt. ``ahead`` is the number of requests that were known to be
    there before it, ``slowness`` the one that its estimate assumed. ``had_free_engine``
    is set if nothing that was known there delayed it.
    """

    priority: int
    demand: Demand
    fetch: PrefixFetch | None = None
    ahead: int = 0
    slowness: float = 1.0
    had_free_engine: bool = False


class RunnerModel:
    """The state of one runner as estimated by this host.

    ``slowness`` is the factor by which its work takes longer than the priors say. In a
    small pool it is a moving average of first events, which decays towards 1.
    """

    def __init__(
        self,
        kv_tokens: int,
        pool_load: PoolLoad | None = None,
        service_times: ServiceTimes | None = None,
    ) -> None:
        self.prefix_cache = PrefixCache(kv_tokens)
        self.prefill_queue = PrefillQueue()
        self.load = EngineLoad(pool_load)
        self.running_attempts: dict[AttemptId, RunningAttempt] = {}
        self.streams_by_gap_ms: dict[int, RunningStreams] = {}
        self.service_times = service_times or ServiceTimes()
        self.slowness = 1.0
        self.is_in_large_pool = False
        self._average_slowness = 1.0
        self._slowness_ms = 0
        self.cold_until_ms = 0
        self.paused_until_ms = 0
        self.excluded_until_ms = 0
        self.exclusions = 0
        self._last_response_ms = 0
        self._silent_attempts = 0
        self._silence_reports_ms: dict[HostName, int] = {}
        self.fetchable_from_ms = 0
        self._prefill_share = 0.0
        self._long_prefill_share = 0.0
        self._failure_share = 0.0
        self._last_decay_ms = 0

    def prefill_ms(self, tokens: int, context_tokens: int = 0) -> float:
        """Return the prefill time of ``tokens`` prompt tokens.

        Each chunk takes one engine step, and the attention of each token covers
        all tokens before it, including ``context_tokens`` from the cache.
        """
        pairs = tokens * (context_tokens + tokens / 2)
        prefill_ms = (
            tokens / PRIOR_PREFILL_TOKENS_PER_MS
            + tokens / PREFILL_CHUNK_TOKENS * PRIOR_STEP_MS
            + pairs / 1_000_000 * PRIOR_ATTENTION_MS_PER_MILLION_PAIRS
        )
        return prefill_ms * self.slowness

    def max_stall_ms(self, event_tokens: int) -> float:
        """Return the longest gap between two events during continuous prefill."""
        step_ms = PRIOR_STEP_MS * self.slowness
        return event_tokens * (self.prefill_ms(PREFILL_CHUNK_TOKENS) + step_ms)

    def prefill_share(self, now_ms: int) -> float:
        """Return the recent share of time spent on prefill."""
        self._decay(now_ms)
        return self._prefill_share

    def long_prefill_share(self, now_ms: int) -> float:
        """Return the recent share of time spent on the prefill of long prompts."""
        self._decay(now_ms)
        return self._long_prefill_share

    def failure_share(self, now_ms: int) -> float:
        """Return the recent share of failed requests."""
        self._decay(now_ms)
        return self._failure_share

    def count_streams(self, max_gap_ms: int, now_ms: int) -> int:
        """Return how many streams with at most that gap target are running."""
        return sum(
            streams.count(now_ms)
            for gap_ms, streams in self.streams_by_gap_ms.items()
            if gap_ms <= max_gap_ms
        )

    def add(
        self,
        prefill_tokens: int,
        gap_target_ms: int,
        expected_ms: int,
        now_ms: int,
        attempt_id: AttemptId | None = None,
        context_tokens: int = 0,
    ) -> int:
        """Account for a request that this host or a peer sent.

        :param attempt_id: the attempt, for an attempt of this host.
        :returns: the expected end of the prefill.
        """
        self._decay(now_ms)
        prefill_ms = self.prefill_ms(prefill_tokens, context_tokens)
        self._prefill_share += prefill_ms / PREFILL_WINDOW_MS
        self._long_prefill_share += effective_stall_ms(prefill_ms) / PREFILL_WINDOW_MS
        if gap_target_ms:
            streams = self.streams_by_gap_ms.setdefault(gap_target_ms, RunningStreams())
            streams.add(now_ms + expected_ms)
        return self.prefill_queue.add(prefill_ms, now_ms, attempt_id)

    def average_slowness(self, waited_ms: int, expected_ms: float) -> None:
        """Add the time to the first event of an attempt to the moving average."""
        observed = self.slowness * waited_ms / max(expected_ms, 1.0)
        low, high = SLOWNESS_BOUNDS
        average = self._average_slowness
        average += OBSERVATION_WEIGHT * (observed - average)
        self._average_slowness = min(high, max(low, average))

    def update_slowness(self, now_ms: int) -> None:
        """Set the slowness to what the service times or the moving average show now."""
        if not self.is_in_large_pool:
            self.slowness = self._average_slowness
        elif now_ms != self._slowness_ms:
            # Several estimates of the same time need it once.
            self._slowness_ms = now_ms
            self.slowness = self.service_times.slowness(now_ms)

    def record_response(self, now_ms: int) -> None:
        """Record that the runner answered; reset its silence and exclusion counts."""
        self._last_response_ms = now_ms
        self._silent_attempts = 0
        self.exclusions = 0

    def record_silence(self, since_ms: int, now_ms: int) -> bool:
        """Count an attempt that was cancelled without data received since ``since_ms``.

        It is not counted if that time is shorter than ``SILENCE_MS`` or if the
        runner has answered another attempt since.

        :returns: whether the runner counts as silent.
        """
        if now_ms - since_ms < SILENCE_MS or self._last_response_ms > since_ms:
            return False
        self._silent_attempts += 1
        return self._silent_attempts >= SILENT_ATTEMPTS

    def update_failure_share(self, has_failed: bool, now_ms: int) -> None:
        """Update the failure share from the result of one attempt."""
        self._decay(now_ms)
        target = 1.0 if has_failed else 0.0
        self._failure_share += FAILURE_WEIGHT * (target - self._failure_share)

    def is_available(self, now_ms: int) -> bool:
        """Return whether the runner may get a call if others are available.

        A runner that has not answered since its exclusion gets one call at a
        time.
        """
        if self.excluded_until_ms > now_ms:
            return False
        return not self.exclusions or not self.running_attempts

    def exclude(self, until_ms: int) -> None:
        """Exclude the runner until then, unless no other runner is available."""
        self.excluded_until_ms = max(self.excluded_until_ms, until_ms)
        self.exclusions += 1

    def pause(self, until_ms: int) -> None:
        """Record that the runner wants no request of this host until then."""
        self.paused_until_ms = max(self.paused_until_ms, until_ms)

    def report_silence(self, host: HostName, until_ms: int, now_ms: int) -> bool:
        """Exclude the runner until then if enough other hosts left it alone.

        When the exclusion ends, it gets one call at a time until it answers.

        :returns: whether the runner is excluded by this report.
        """
        self._silence_reports_ms[host] = now_ms
        self._silence_reports_ms = {
            reporter: reported_ms
            for reporter, reported_ms in self._silence_reports_ms.items()
            if now_ms - reported_ms <= SILENCE_REPORT_MS
        }
        has_answered = (
            self._last_response_ms and now_ms - self._last_response_ms < OWN_ANSWER_MS
        )
        reports = len(self._silence_reports_ms) + (self._silent_attempts > 0)
        if has_answered or reports < SILENCE_REPORTS:
            return False
        was_available = self.excluded_until_ms <= now_ms
        self.excluded_until_ms = max(self.excluded_until_ms, until_ms)
        self.exclusions = max(1, self.exclusions)
        return was_available

    def restart(self, cold_until_ms: int, kv_tokens: int) -> None:
        """Reset what was learned about the previous process of the runner."""
        self.prefix_cache = PrefixCache(kv_tokens)
        self.streams_by_gap_ms = {}
        self.cold_until_ms = max(self.cold_until_ms, cold_until_ms)
        self.paused_until_ms = 0
        self.service_times.reset()
        self._average_slowness = 1.0
        self.slowness = 1.0
        self.prefill_queue = PrefillQueue()
        self.load.forget_all()
        self._failure_share = 0.0

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = now_ms - self._last_decay_ms
        if elapsed_ms <= 0:
            return
        self._last_decay_ms = now_ms
        decay_factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._failure_share *= decay_factor
        average = 1.0 + (self._average_slowness - 1.0) * decay_factor**0.25
        self._average_slowness = average
        self.update_slowness(now_ms)
        window_decay = exp(-elapsed_ms / PREFILL_WINDOW_MS)
        self._prefill_share *= window_decay
        self._long_prefill_share *= window_decay


def effective_stall_ms(prefill_ms: float) -> float:
    """Return how much of a prefill of that length counts as a stall of streams."""
    return prefill_ms * min(1.0, prefill_ms / LONG_PREFILL_MS)
