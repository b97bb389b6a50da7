"""This host's part of what a cold runner may get from all hosts."""

from dataclasses import dataclass

from figshunt.types import RunnerId


@dataclass(frozen=True, slots=True)
class SharedBounds:
    """Bounds that the platform sets on the sum over all hosts.

    In any second a cold runner may get ``cold_overshoot`` times its published
    rate and ``cold_slack`` more; in any ``retry_window_ms`` a pool may get
    ``retry_share`` of its requests once more, and ``retry_slack`` besides.
    Reading a shared part of a prompt again is priced for ``reuse_window_ms``
    after its last use.
    """

    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    retry_share: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: int = 10_000
    reuse_window_ms: int = 6_000


# Part of a shared bound that hosts use; the rest covers hosts that were not
# heard of yet and sends that bunch up on their way.
USED_SHARE = 0.7


class ColdLimit:
    """Spaces this host's sends to a cold runner evenly.

    With n hosts, each keeps n / (``USED_SHARE`` x bound) seconds between two
    sends, so that n hosts together stay below the bound in any second.
    """

    def __init__(self, bounds: SharedBounds) -> None:
        self._bounds = bounds
        self._next_ms_by_runner: dict[RunnerId, int] = {}

    def next_ms(self, runner_id: RunnerId) -> int:
        """Return the earliest time of the next send to the runner."""
        return self._next_ms_by_runner.get(runner_id, 0)

    def record(
        self, runner_id: RunnerId, cold_per_s: float, hosts: int, now_ms: int
    ) -> None:
        """Count a send to a cold runner."""
        bounds = self._bounds
        per_s = cold_per_s * bounds.cold_overshoot + bounds.cold_slack
        spacing_ms = 1_000 * hosts / (per_s * USED_SHARE)
        self._next_ms_by_runner[runner_id] = now_ms + int(spacing_ms) + 1

    def keep_only(self, runner_ids: set[RunnerId]) -> None:
        """Forget all other runners."""
        for runner_id in self._next_ms_by_runner.keys() - runner_ids:
            del self._next_ms_by_runner[runner_id]
