"""Estimates how long a call waits for a place behind those of all hosts.

This answers lasting overload: a call that will not get a place in time is refused at
once instead of after its wait, so that its caller can return while it has time. It
keeps the invariant that no call is refused for this while a place is free: it is asked
only for calls without room.
"""

from figshunt.dispatch._messages import HeldNotice, HostStatus
from figshunt.types import HostName, PoolName

# Weight of a new duration in the average of a pool.
DURATION_WEIGHT = 0.05

# What a host told of its held calls is dropped after this long. It exceeds the interval
# of the heartbeats within a data centre.
TOLD_MS = 1_000


class DrainEstimate:
    """What is known of the held calls of all hosts, and how long requests take.

    Places become free at the rate at which the requests in flight end: their number
    divided by their mean duration.
    """

    def __init__(self) -> None:
        self._duration_ms_by_pool: dict[PoolName, float] = {}
        self._told_by_host: dict[HostName, tuple[int, tuple[HeldNotice, ...]]] = {}

    def record_duration(self, pool: PoolName, duration_ms: int) -> None:
        """Record how long a request took that its runner served."""
        mean_ms = self._duration_ms_by_pool.get(pool, float(duration_ms))
        mean_ms += DURATION_WEIGHT * (duration_ms - mean_ms)
        self._duration_ms_by_pool[pool] = mean_ms

    def record_status(self, status: HostStatus, now_ms: int) -> None:
        """Replace what a peer holds; a status tells it as a whole."""
        if status.held:
            self._told_by_host[status.host] = (now_ms, status.held)
        else:
            self._told_by_host.pop(status.host, None)

    def wait_ms(
        self,
        pool: PoolName,
        priority: int,
        own_ahead: int,
        in_flight: int,
        now_ms: int,
    ) -> int | None:
        """Return the expected wait of the next call, or ``None`` if it isn't known.

        :param own_ahead: held calls of this host that go first.
        :param in_flight: requests of all hosts whose ends make room for the call.
        """
        duration_ms = self._duration_ms_by_pool.get(pool)
        if duration_ms is None or in_flight <= 0:
            return None
        ahead = own_ahead + self._count_told(pool, priority, now_ms)
        return int((ahead + 1) * duration_ms / in_flight)

    def _count_told(self, pool: PoolName, priority: int, now_ms: int) -> int:
        """Return the held calls of peers that are at least as urgent."""
        for host, (told_ms, _) in tuple(self._told_by_host.items()):
            if now_ms - told_ms > TOLD_MS:
                del self._told_by_host[host]
        return sum(
            notice.calls
            for _, notices in self._told_by_host.values()
            for notice in notices
            if notice.pool == pool and notice.priority <= priority
        )
