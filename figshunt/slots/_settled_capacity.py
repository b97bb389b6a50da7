"""Holds back new work until the tables are known to be up to date."""

from collections.abc import Callable

from figshunt.slots._views import CapacityView
from figshunt.types import Moment, PoolName, RequestId


class SettledCapacity:
    """A ``CapacityView`` without free slots while the tables aren't settled.

    A daemon that starts, or resumes after a pause, may hold tables from before
    a data centre was taken out; it sends no new work until it has asked.
    """

    def __init__(self, capacity: CapacityView, is_settled: Callable[[], bool]) -> None:
        self._capacity = capacity
        self._is_settled = is_settled

    def has_slot(self, pool: PoolName, now: Moment) -> bool:
        """Return whether some runner of the pool has a free slot here."""
        return self._is_settled() and self._capacity.has_slot(pool, now)

    def frees_slot(self, request_id: RequestId, now: Moment) -> bool:
        """Return whether other work may use a running request's slot if it ends."""
        return self._is_settled() and self._capacity.frees_slot(request_id, now)
