"""Read-only view of the free slots of this daemon."""

from typing import Protocol

from figshunt.types import Moment, PoolName, RequestId


class CapacityView(Protocol):
    """Slots that this daemon may use at present."""

    def has_free_slot(self, pool: PoolName, now: Moment) -> bool:
        """Return whether this daemon has a free slot of any runner of the pool."""

    def can_reuse_slot(self, request_id: RequestId, now: Moment) -> bool:
        """Return whether other work may use a running request's slot if it ends."""
