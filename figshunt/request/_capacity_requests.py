"""Limits how often the scheduler asks for capacity."""

from collections.abc import Iterable

from figshunt.pipeline import Output
from figshunt.types import CapacityWanted, Moment, PoolName, Tier, WakeAt

ASK_INTERVAL_MS = 200


class CapacityRequests:
    """Asks once in ``ASK_INTERVAL_MS`` for each pool, sooner for a higher tier.

    Asks again while requests wait, since a refusal isn't reported.
    """

    def __init__(self) -> None:
        self._last_by_pool: dict[PoolName, tuple[int, Tier]] = {}

    def ask(
        self, pool: PoolName, tier: Tier, waiting: int, now: Moment
    ) -> Iterable[Output]:
        """Ask for capacity, unless that was done just before."""
        last = self._last_by_pool.get(pool)
        if last is not None:
            asked_ms, asked_tier = last
            is_recent = now.monotonic_ms - asked_ms < ASK_INTERVAL_MS
            if is_recent and tier >= asked_tier:
                return
        self._last_by_pool[pool] = (now.monotonic_ms, tier)
        yield WakeAt(now.monotonic_ms + ASK_INTERVAL_MS)
        yield CapacityWanted(pool, tier, waiting)
