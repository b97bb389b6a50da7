"""Read-only view of free slots."""

from typing import Protocol

from figshunt.types import Moment, PoolName, RequestId


class CapacityView(Protocol):
    """Free slots that this daemon may use now."""

    def has_slot(self, pool: PoolName, now: Moment) -> bool:
        """Return whether some runner of the pool has a free slot here."""

    def frees_slot(self, request_id: RequestId, now: Moment) -> bool:
        """Return whether other work may use a running request's slot if it ends."""
