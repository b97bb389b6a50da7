"""Own requests that wait for a slot, as the scheduler last told."""

from dataclasses import dataclass

from figshunt.types import PoolName, Tier

DEMAND_HOLDS_MS = 2_000


@dataclass(slots=True)
class _Waiting:
    tier: Tier
    count: int
    until_ms: int


class Demand:
    """Waiting requests of each pool and their highest tier.

    The scheduler tells both in one message; they are forgotten unless told
    again. All that wait count as of the highest tier, so an owner keeps
    rather too many slots for its own work than too few.
    """

    def __init__(self) -> None:
        self._waiting_by_pool: dict[PoolName, _Waiting] = {}

    def replace(self, pool: PoolName, tier: Tier, waiting: int, now_ms: int) -> None:
        """Record how many requests wait in the pool."""
        until_ms = now_ms + DEMAND_HOLDS_MS
        self._waiting_by_pool[pool] = _Waiting(tier, waiting, until_ms)

    def release(self, pool: PoolName) -> None:
        """Count one request less."""
        known = self._waiting_by_pool.get(pool)
        if known is not None:
            known.count -= 1

    def waiting(self, pool: PoolName, now_ms: int) -> int:
        """Return how many requests wait in the pool."""
        known = self._known(pool, now_ms)
        return known.count if known else 0

    def waiting_before(self, pool: PoolName, tier: Tier, now_ms: int) -> int:
        """Return how many wait if the highest is of ``tier`` or higher."""
        known = self._known(pool, now_ms)
        return known.count if known and known.tier <= tier else 0

    def highest_tier(self, pool: PoolName, now_ms: int) -> Tier | None:
        """Return the highest tier that waits in the pool."""
        known = self._known(pool, now_ms)
        return known.tier if known else None

    def _known(self, pool: PoolName, now_ms: int) -> _Waiting | None:
        known = self._waiting_by_pool.get(pool)
        if known is None:
            return None
        if known.count <= 0 or known.until_ms <= now_ms:
            del self._waiting_by_pool[pool]
            return None
        return known
