"""Suspends new work until the tables are known to be up to date."""

from collections.abc import Callable

from figshunt.slots._views import CapacityView
from figshunt.types import Moment, PoolName, RequestId


class SynchronizedCapacity:
    """A ``CapacityView`` that shows no free slots while the tables aren't synchronized.

    After a start or a pause, a daemon may hold tables that still include a data
    centre that was taken out since. It sends no new work until it has queried
    its peers for a newer revision.
    """

    def __init__(
        self, capacity: CapacityView, is_synchronized: Callable[[], bool]
    ) -> None:
        self._capacity = capacity
        self._is_synchronized = is_synchronized

    def has_free_slot(self, pool: PoolName, now: Moment) -> bool:
        """Return whether this daemon has a free slot of any runner of the pool."""
        return self._is_synchronized() and self._capacity.has_free_slot(pool, now)

    def can_reuse_slot(self, request_id: RequestId, now: Moment) -> bool:
        """Return whether other work may use a running request's slot if it ends."""
        return self._is_synchronized() and self._capacity.can_reuse_slot(
            request_id, now
        )
