"""What placement needs of all runners of a pool, computed at most every few calls."""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil

from figshunt.directory import PublishedRunner
from figshunt.dispatch.fleet._runner_model import GAP_HEADROOM, RunnerModel
from figshunt.types import DataCentreName, RunnerId

# Calls are compared at all runners of a pool of at most this size, about as many as
# candidates are chosen of larger ones. A pool of eight lists more for a moment when
# runners that crashed come back under new ids.
MAX_UNSAMPLED_RUNNERS = 10

# Longest age of a summary. Prefill shares are averages over four seconds, which
# change little within it.
SUMMARY_MS = 200

# Quiet engines have slots for this multiple of the streams with a tight gap target in
# flight, so that the next ones find room, and are at most this share of a pool.
QUIET_FACTOR = 2.0
MAX_QUIET_SHARE = 0.5

# Engines with more slots slow down long before all are taken. Counted by slots, 4 of 45
# engines with 96 slots would get all chats, and turned many of them away.
MAX_QUIET_ENGINE_SLOTS = 16


@dataclass(frozen=True, slots=True)
class PoolSummary:
    """The runners of a pool at ``computed_ms``.

    ``mean_requests`` is the mean number of requests in flight at one of them,
    ``mean_prefill_share`` the mean share of time that they spend on prefill,
    ``max_stall_ms`` the mean of the longest gaps between events during prefill.
    ``quiet_ids`` are those kept for streams that such a gap would make late,
    ``common_ids`` the others, and ``local_ids`` those of them in this host's data
    centre.
    """

    runners: Mapping[RunnerId, PublishedRunner]
    computed_ms: int
    mean_requests: float
    mean_prefill_share: float
    max_stall_ms: float
    quiet_ids: tuple[RunnerId, ...]
    common_ids: tuple[RunnerId, ...]
    local_ids: tuple[RunnerId, ...]

    def is_current(
        self, runners: Mapping[RunnerId, PublishedRunner], now_ms: int
    ) -> bool:
        """Return whether the summary may still be used for these runners."""
        return self.runners is runners and now_ms - self.computed_ms < SUMMARY_MS

    def is_tight(self, gap_target_ms: int | None) -> bool:
        """Return whether continuous prefill breaks the gap target of a stream."""
        return _is_tight(gap_target_ms, self.max_stall_ms)

    def group(self, gap_target_ms: int | None) -> tuple[RunnerId, ...]:
        """Return the engines that are meant for requests with a gap target."""
        if self.quiet_ids and self.is_tight(gap_target_ms):
            return self.quiet_ids
        return self.common_ids


def summarize_pool(
    models_by_id: Mapping[RunnerId, RunnerModel],
    runners: Mapping[RunnerId, PublishedRunner],
    event_tokens: int,
    data_centre: DataCentreName,
    now_ms: int,
) -> PoolSummary:
    """Summarize the runners of a pool of engines, which isn't empty."""
    models = [models_by_id[runner_id] for runner_id in runners]
    count = len(models)
    shares = [min(1.0, model.prefill_share(now_ms)) for model in models]
    max_stall_ms = sum(model.max_stall_ms(event_tokens) for model in models) / count
    tight_streams = sum(
        streams.count(now_ms)
        for model in models
        for gap_ms, streams in model.streams_by_gap_ms.items()
        if _is_tight(gap_ms, max_stall_ms)
    )
    mean_slots = sum(runner.slots for runner in runners.values()) / count
    quiet_count = 0
    if mean_slots <= MAX_QUIET_ENGINE_SLOTS:
        quiet_count = min(
            ceil(QUIET_FACTOR * tight_streams / max(1.0, mean_slots)),
            int(MAX_QUIET_SHARE * count),
        )
    ordered_ids = sorted(runners, key=role_rank)
    quiet_ids = tuple(ordered_ids[:quiet_count])
    common_ids = tuple(ordered_ids[quiet_count:])
    return PoolSummary(
        runners=runners,
        computed_ms=now_ms,
        mean_requests=sum(model.load.requests for model in models) / count,
        mean_prefill_share=sum(shares) / count,
        max_stall_ms=max_stall_ms,
        quiet_ids=quiet_ids,
        common_ids=common_ids,
        local_ids=tuple(
            runner_id
            for runner_id in common_ids
            if runners[runner_id].data_centre == data_centre
        ),
    )


def role_rank(runner_id: RunnerId) -> float:
    """Return a number from 0 to 1 that depends on the id only.

    Engines with a low one are kept for streams with a tight gap target.
    """
    digest = blake2b(runner_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 0xFFFFFFFF


def _is_tight(gap_target_ms: int | None, max_stall_ms: float) -> bool:
    if not gap_target_ms:
        return False
    return max_stall_ms > gap_target_ms * (1 - GAP_HEADROOM)
