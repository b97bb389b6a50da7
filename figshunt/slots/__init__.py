"""Slots of runners: ownership by seat, and the filter that uses them."""

from figshunt.slots._ownership import (
    count_owned_slots,
    order_seats,
)
from figshunt.slots._slot_filter import (
    SlotFilter,
)
from figshunt.slots._views import (
    CapacityView,
)

__all__ = [
    "CapacityView",
    "SlotFilter",
    "count_owned_slots",
    "order_seats",
]
