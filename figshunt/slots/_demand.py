"""Requests of this daemon that wait for a slot, as the scheduler reports them."""

from dataclasses import dataclass

from figshunt.types import PoolName, Tier

DEMAND_TTL_MS = 2_000


@dataclass(slots=True)
class _PoolDemand:
    tier: Tier
    count: int
    expires_ms: int


class Demand:
    """Number and highest tier of the waiting requests of each pool.

    The scheduler reports both in one message; a report expires unless it is
    repeated. All waiting requests count as of the highest tier, so that an
    owner reserves too many slots for its own requests rather than too few.
    """

    def __init__(self) -> None:
        self._demand_by_pool: dict[PoolName, _PoolDemand] = {}

    def replace(
        self, pool: PoolName, tier: Tier, waiting_count: int, now_ms: int
    ) -> None:
        """Record how many requests wait in the pool."""
        expires_ms = now_ms + DEMAND_TTL_MS
        self._demand_by_pool[pool] = _PoolDemand(tier, waiting_count, expires_ms)

    def decrement(self, pool: PoolName) -> None:
        """Subtract one waiting request."""
        demand = self._demand_by_pool.get(pool)
        if demand is not None:
            demand.count -= 1

    def waiting_count(self, pool: PoolName, now_ms: int) -> int:
        """Return how many requests wait in the pool."""
        demand = self._find_current(pool, now_ms)
        return demand.count if demand else 0

    def waiting_count_at_or_above(self, pool: PoolName, tier: Tier, now_ms: int) -> int:
        """Return how many requests wait, or 0 if all are of a tier below ``tier``."""
        demand = self._find_current(pool, now_ms)
        return demand.count if demand and demand.tier <= tier else 0

    def highest_tier(self, pool: PoolName, now_ms: int) -> Tier | None:
        """Return the highest tier of the waiting requests, ``None`` without any."""
        demand = self._find_current(pool, now_ms)
        return demand.tier if demand else None

    def _find_current(self, pool: PoolName, now_ms: int) -> _PoolDemand | None:
        demand = self._demand_by_pool.get(pool)
        if demand is None:
            return None
        if demand.count <= 0 or demand.expires_ms <= now_ms:
            del self._demand_by_pool[pool]
            return None
        return demand
