"""Tells refused callers when to return."""

import random
from math import exp

from figshunt.types import PoolName

# Time constant of the rate at which a pool ends this host's attempts.
RATE_WINDOW_MS = 2_000

MIN_PAUSE_MS = 100

# Callers wait for at most about this share of the time that they have left.
MAX_TIME_SHARE = 0.3

# Pauses vary by this share, so that callers of several hosts don't return together.
PAUSE_SPREAD = 0.2


class ReturnSchedule:
    """Spreads the returns of refused callers over the time that a pool needs.

    Callers that were refused in a burst return at the rate at which the pool ended
    requests of this host lately, the more urgent ones first, and not before the calls
    that are held meanwhile got their places.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._ended_by_pool: dict[PoolName, tuple[float, int]] = {}
        self._last_return_ms: dict[tuple[PoolName, int], float] = {}

    def record_end(self, pool: PoolName, now_ms: int) -> None:
        """Count an attempt that ended."""
        self._ended_by_pool[pool] = (self._recent_ends(pool, now_ms) + 1.0, now_ms)

    def next_pause_ms(
        self,
        pool: PoolName,
        priority: int,
        time_left_ms: int,
        now_ms: int,
        drain_ms: int = 0,
    ) -> int:
        """Return the pause for the next refused caller.

        :param time_left_ms: what is left of the caller's time limit.
        :param drain_ms: the expected wait behind the calls that are held now. Callers
            that return earlier would be refused again.
        """
        interval_ms = RATE_WINDOW_MS / max(1.0, self._recent_ends(pool, now_ms))
        last_return_ms = max(
            (
                return_ms
                for (other_pool, level), return_ms in self._last_return_ms.items()
                if other_pool == pool and level <= priority
            ),
            default=0.0,
        )
        earliest_ms = now_ms + max(MIN_PAUSE_MS, drain_ms)
        return_ms = max(earliest_ms, last_return_ms + interval_ms)
        max_pause_ms = time_left_ms * MAX_TIME_SHARE / (1 + PAUSE_SPREAD)
        return_ms = min(return_ms, now_ms + max_pause_ms)
        self._last_return_ms[(pool, priority)] = return_ms
        spread = 1 + PAUSE_SPREAD * (2 * self._random.random() - 1)
        return max(1, int((return_ms - now_ms) * spread))

    def _recent_ends(self, pool: PoolName, now_ms: int) -> float:
        ended, counted_ms = self._ended_by_pool.get(pool, (0.0, now_ms))
        return ended * exp((counted_ms - now_ms) / RATE_WINDOW_MS)
