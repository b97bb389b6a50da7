"""Read-only view of free slots."""

from typing import Protocol

from figshunt.types import Moment, PoolName


class CapacityView(Protocol):
    """Free slots that this daemon may use now."""

    def has_slot(self, pool: PoolName, now: Moment) -> bool:
        """Return whether some runner of the pool has a free slot here."""
