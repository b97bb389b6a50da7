"""What placement needs of all runners of a pool, computed at most every few calls."""

from collections.abc import Mapping
from dataclasses import dataclass

from figshunt.directory import PublishedRunner
from figshunt.dispatch.fleet._runner_model import RunnerModel
from figshunt.types import DataCentreName, RunnerId

# Calls are compared at all runners of a pool of at most this size.
MAX_UNSAMPLED_RUNNERS = 8

# Longest age of a summary. Prefill shares are averages over four seconds, which
# change little within it.
SUMMARY_MS = 200

# Share of a pool's runners that counts as calm.
CALM_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class PoolSummary:
    """The runners of a pool at ``computed_ms``.

    ``mean_prefill_share`` is the mean share of time that they spend on prefill.
    ``calm_ids`` are those that spend the least time on the prefill of long prompts,
    ``local_ids`` those of this host's data centre.
    """

    runners: Mapping[RunnerId, PublishedRunner]
    computed_ms: int
    mean_prefill_share: float
    runner_ids: tuple[RunnerId, ...]
    calm_ids: tuple[RunnerId, ...]
    local_ids: tuple[RunnerId, ...]

    def is_current(
        self, runners: Mapping[RunnerId, PublishedRunner], now_ms: int
    ) -> bool:
        """Return whether the summary may still be used for these runners."""
        return self.runners is runners and now_ms - self.computed_ms < SUMMARY_MS


def summarize_pool(
    models_by_id: Mapping[RunnerId, RunnerModel],
    runners: Mapping[RunnerId, PublishedRunner],
    data_centre: DataCentreName | None,
    now_ms: int,
) -> PoolSummary:
    """Summarize the runners of a pool of engines, which isn't empty."""
    shares = [
        min(1.0, models_by_id[runner_id].prefill_share(now_ms)) for runner_id in runners
    ]
    calm_ids = sorted(
        runners,
        key=lambda runner_id: models_by_id[runner_id].long_prefill_share(now_ms),
    )
    return PoolSummary(
        runners=runners,
        computed_ms=now_ms,
        mean_prefill_share=sum(shares) / len(shares),
        runner_ids=tuple(runners),
        calm_ids=tuple(calm_ids[: max(1, int(len(runners) * CALM_SHARE))]),
        local_ids=tuple(
            runner_id
            for runner_id, runner in runners.items()
            if runner.data_centre == data_centre
        ),
    )
