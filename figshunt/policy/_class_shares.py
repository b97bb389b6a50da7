"""Tracks the share of a pool's slot time that each class has used recently."""

import math
from dataclasses import dataclass

from figshunt.tables import Route

SHARE_TIME_CONSTANT_MS = 10_000
DEFAULT_FLOOR_SHARE = 0.02
MAX_DEFAULT_FLOORS_SUM = 0.1
NEGLIGIBLE_USE_MS = 0.5


@dataclass(slots=True)
class ClassUsage:
    """Slot time of one class: decayed past use and the running work's expected use.

    The two sums are over the running requests: their start times and their
    expected slot times.
    """

    used_ms: float = 0.0
    running_count: int = 0
    started_sum_ms: int = 0
    expected_sum_ms: int = 0

    def expected_remaining_ms(self, now_ms: int) -> float:
        """Return the slot time that the running requests are still expected to use."""
        elapsed_ms = self.running_count * now_ms - self.started_sum_ms
        return max(0, self.expected_sum_ms - elapsed_ms)


class ClassShares:
    """Exponentially decayed slot time of the classes of one pool.

    Slot time accrues continuously, so a running request counts from its start
    and a share need not correspond to a whole number of slots. A class without
    a published floor gets a default floor so that it can't starve:
    ``DEFAULT_FLOOR_SHARE`` for each such class, limited to
    ``MAX_DEFAULT_FLOORS_SUM`` for all of them together.

    :param time_constant_ms: time in which past use decays by a factor of e.
    """

    def __init__(self, time_constant_ms: int = SHARE_TIME_CONSTANT_MS) -> None:
        self._time_constant_ms = time_constant_ms
        self._usage_by_route: dict[Route, ClassUsage] = {}
        self._updated_ms: int | None = None

    def floor(self, route: Route) -> float:
        """Return the fraction of the pool's slot time that the class is entitled to."""
        if route.floor_share > 0:
            return route.floor_share
        unpublished_count = sum(
            candidate.floor_share <= 0 for candidate in self._usage_by_route
        )
        return min(
            DEFAULT_FLOOR_SHARE, MAX_DEFAULT_FLOORS_SUM / max(1, unpublished_count)
        )

    def activate(self, route: Route, now_ms: int) -> None:
        """Start accounting for a class that had no waiting or running requests.

        Slot time that the class left unused while it was idle is not made up
        for. The class is charged as if it had used its floor's share, so that
        a burst after an idle period can't exceed the floor at once.
        """
        self.advance(now_ms)
        usage = self._usage_by_route.setdefault(route, ClassUsage())
        others_ms = self._total_ms(now_ms) - usage.used_ms
        floor = self.floor(route)
        usage.used_ms = max(usage.used_ms, others_ms * floor / (1 - floor))

    def record_start(self, route: Route, expected_ms: int, now_ms: int) -> None:
        """Record the start of a request and its expected slot time."""
        self.advance(now_ms)
        usage = self._usage_by_route.setdefault(route, ClassUsage())
        usage.running_count += 1
        usage.started_sum_ms += now_ms
        usage.expected_sum_ms += expected_ms

    def record_end(
        self, route: Route, expected_ms: int, started_ms: int, now_ms: int
    ) -> None:
        """Record the end of a request that was passed to :meth:`record_start`.

        ``expected_ms`` and ``started_ms`` must be the values recorded then.
        """
        self.advance(now_ms)
        usage = self._usage_by_route[route]
        usage.running_count -= 1
        usage.started_sum_ms -= started_ms
        usage.expected_sum_ms -= expected_ms

    def committed_ms(self, route: Route, now_ms: int) -> float:
        """Return the slot time used plus what running requests are expected to use."""
        usage = self._usage_by_route.get(route)
        return usage.used_ms + usage.expected_remaining_ms(now_ms) if usage else 0.0

    def is_below_floor(
        self, route: Route, now_ms: int, excluded_ms: float = 0.0
    ) -> bool:
        """Return whether the class's share of the slot time is below its floor.

        :param excluded_ms: expected slot time of the class's running requests
            that is left out of the comparison.
        """
        self.advance(now_ms)
        total_ms = self._total_ms(now_ms) - excluded_ms
        committed_ms = self.committed_ms(route, now_ms) - excluded_ms
        return committed_ms < self.floor(route) * total_ms

    def advance(self, now_ms: int) -> None:
        """Decay past use and accrue the slot time of running requests up to now."""
        if self._updated_ms is None:
            self._updated_ms = now_ms
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms <= 0:
            return
        self._updated_ms = now_ms
        decay = math.exp(-elapsed_ms / self._time_constant_ms)
        accrued_ms = self._time_constant_ms * (1 - decay)
        for usage in self._usage_by_route.values():
            usage.used_ms = usage.used_ms * decay + usage.running_count * accrued_ms

    def remove_if_idle(self, route: Route) -> bool:
        """Remove a class that runs nothing and whose past use is negligible.

        :returns: whether the class is no longer tracked.
        """
        usage = self._usage_by_route.get(route)
        if usage is not None and (
            usage.running_count or usage.used_ms >= NEGLIGIBLE_USE_MS
        ):
            return False
        self._usage_by_route.pop(route, None)
        return True

    def has_running_work(self, route: Route) -> bool:
        """Return whether the class has running requests."""
        usage = self._usage_by_route.get(route)
        return usage is not None and usage.running_count > 0

    def _total_ms(self, now_ms: int) -> float:
        return sum(
            usage.used_ms + usage.expected_remaining_ms(now_ms)
            for usage in self._usage_by_route.values()
        )
