"""Rate limit for the scheduler's capacity requests."""

from collections.abc import Iterable

from figshunt.pipeline import Output
from figshunt.types import CapacityRequested, Moment, PoolName, Tier, WakeAt

REQUEST_INTERVAL_MS = 200


class CapacityRequests:
    """Requests capacity at most once per ``REQUEST_INTERVAL_MS`` for each pool.

    A request for a higher tier than the last one is sent without delay.
    Capacity is requested again while requests wait, since refusals of a
    capacity request aren't reported.
    """

    def __init__(self) -> None:
        self._last_request_by_pool: dict[PoolName, tuple[int, Tier]] = {}

    def request_capacity(
        self, pool: PoolName, tier: Tier, waiting_count: int, now: Moment
    ) -> Iterable[Output]:
        """Request capacity, unless the rate limit applies."""
        last_request = self._last_request_by_pool.get(pool)
        if last_request is not None:
            requested_ms, requested_tier = last_request
            is_recent = now.monotonic_ms - requested_ms < REQUEST_INTERVAL_MS
            if is_recent and tier >= requested_tier:
                return
        self._last_request_by_pool[pool] = (now.monotonic_ms, tier)
        yield WakeAt(now.monotonic_ms + REQUEST_INTERVAL_MS)
        yield CapacityRequested(pool, tier, waiting_count)
