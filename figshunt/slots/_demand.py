"""Own requests that wait for a slot, as the scheduler last told."""

from figshunt.types import PoolName, Tier

DEMAND_HOLDS_MS = 2_000


class Demand:
    """Waiting requests by pool and tier; forgotten unless told again."""

    def __init__(self) -> None:
        self._waiting_by_key: dict[tuple[PoolName, Tier], tuple[int, int]] = {}

    def set(self, pool: PoolName, tier: Tier, waiting: int, now_ms: int) -> None:
        """Record how many requests of a tier wait."""
        self._waiting_by_key[pool, tier] = (waiting, now_ms + DEMAND_HOLDS_MS)

    def released(self, pool: PoolName, tier: Tier) -> None:
        """Count one request less."""
        known = self._waiting_by_key.get((pool, tier))
        if known is None:
            return
        if known[0] <= 1:
            del self._waiting_by_key[pool, tier]
        else:
            self._waiting_by_key[pool, tier] = (known[0] - 1, known[1])

    def waiting(self, pool: PoolName, lowest: Tier, now_ms: int) -> int:
        """Return how many requests wait that are of ``lowest`` tier or higher."""
        if not self._waiting_by_key:
            return 0
        return sum(
            waiting
            for (one_pool, tier), (waiting, until_ms) in self._waiting_by_key.items()
            if one_pool == pool and tier <= lowest and now_ms < until_ms
        )

    def highest_tier(self, pool: PoolName, now_ms: int) -> Tier | None:
        """Return the highest tier that waits in the pool."""
        return min(
            (
                tier
                for (one_pool, tier), (_, until_ms) in self._waiting_by_key.items()
                if one_pool == pool and now_ms < until_ms
            ),
            default=None,
        )
