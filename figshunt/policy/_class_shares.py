"""Which part of a pool's slot time each class has used recently."""

import math
from dataclasses import dataclass

from figshunt.tables import Route

SHARE_WINDOW_MS = 10_000
DEFAULT_FLOOR = 0.02
DEFAULT_FLOORS_SUM = 0.1
NEGLIGIBLE_MS = 0.5


@dataclass(slots=True)
class ClassUse:
    """Slot time of one class: decayed, and expected of its running work."""

    served_ms: float = 0.0
    running: int = 0
    started_sum_ms: int = 0
    expected_sum_ms: int = 0

    def expected_left_ms(self, now_ms: int) -> float:
        """Return the slot time that the running work is still expected to use."""
        elapsed_ms = self.running * now_ms - self.started_sum_ms
        return max(0, self.expected_sum_ms - elapsed_ms)


class ClassShares:
    """Slot time of the classes of one pool, decayed exponentially.

    Slot time is accrued continuously, so running work counts from its start
    and no whole number of slots is needed to express a share. Classes
    without a published floor get a default one, so that they don't starve:
    ``DEFAULT_FLOOR`` each, ``DEFAULT_FLOORS_SUM`` together at most.

    :param window_ms: time constant of the decay.
    """

    def __init__(self, window_ms: int = SHARE_WINDOW_MS) -> None:
        self._window_ms = window_ms
        self._use_by_route: dict[Route, ClassUse] = {}
        self._advanced_ms: int | None = None

    def floor(self, route: Route) -> float:
        """Return the part of the slot time that the class is entitled to."""
        if route.floor_share > 0:
            return route.floor_share
        without_floor = sum(one.floor_share <= 0 for one in self._use_by_route)
        return min(DEFAULT_FLOOR, DEFAULT_FLOORS_SUM / max(1, without_floor))

    def join(self, route: Route, now_ms: int) -> None:
        """Count a class from now on, which had neither waiting nor running work.

        Unused floors were lent and aren't paid back: the class starts with
        its floor's share as if it had used it, so that a burst after a quiet
        time can't take more than the floor at once.
        """
        self.advance(now_ms)
        use = self._use_by_route.setdefault(route, ClassUse())
        others_ms = self._total_ms(now_ms) - use.served_ms
        floor = self.floor(route)
        use.served_ms = max(use.served_ms, others_ms * floor / (1 - floor))

    def start(self, route: Route, expected_ms: int, now_ms: int) -> None:
        """Count the start of a request that is expected to take so long."""
        self.advance(now_ms)
        use = self._use_by_route.setdefault(route, ClassUse())
        use.running += 1
        use.started_sum_ms += now_ms
        use.expected_sum_ms += expected_ms

    def end(self, route: Route, expected_ms: int, started_ms: int, now_ms: int) -> None:
        """Count the end of a request that was counted by :meth:`start`."""
        self.advance(now_ms)
        use = self._use_by_route[route]
        use.running -= 1
        use.started_sum_ms -= started_ms
        use.expected_sum_ms -= expected_ms

    def committed_ms(self, route: Route, now_ms: int) -> float:
        """Return the slot time used and expected of the running work."""
        use = self._use_by_route.get(route)
        return use.served_ms + use.expected_left_ms(now_ms) if use else 0.0

    def is_owed(self, route: Route, now_ms: int, without_ms: float = 0.0) -> bool:
        """Return whether the class is below its floor.

        :param without_ms: leaves out so much of the slot time that the
            class's running work is expected to use.
        """
        self.advance(now_ms)
        total_ms = self._total_ms(now_ms) - without_ms
        committed_ms = self.committed_ms(route, now_ms) - without_ms
        return committed_ms < self.floor(route) * total_ms

    def advance(self, now_ms: int) -> None:
        """Decay the figures and accrue the time of running work."""
        if self._advanced_ms is None:
            self._advanced_ms = now_ms
        elapsed_ms = now_ms - self._advanced_ms
        if elapsed_ms <= 0:
            return
        self._advanced_ms = now_ms
        decay = math.exp(-elapsed_ms / self._window_ms)
        accrued_ms = self._window_ms * (1 - decay)
        for use in self._use_by_route.values():
            use.served_ms = use.served_ms * decay + use.running * accrued_ms

    def forget_if_idle(self, route: Route) -> bool:
        """Drop a class whose use has decayed; return whether it was dropped."""
        use = self._use_by_route.get(route)
        if use is not None and (use.running or use.served_ms >= NEGLIGIBLE_MS):
            return False
        self._use_by_route.pop(route, None)
        return True

    def is_running(self, route: Route) -> bool:
        """Return whether the class has work in service."""
        use = self._use_by_route.get(route)
        return use is not None and use.running > 0

    def _total_ms(self, now_ms: int) -> float:
        return sum(
            use.served_ms + use.expected_left_ms(now_ms)
            for use in self._use_by_route.values()
        )
