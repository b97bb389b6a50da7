"""Runner slots: ownership by seat, lending between seats, and their use."""

from figshunt.slots._ownership import (
    order_seats,
)
from figshunt.slots._settled_capacity import (
    SettledCapacity,
)
from figshunt.slots._slot_filter import (
    SlotFilter,
)
from figshunt.slots._views import (
    CapacityView,
)

__all__ = [
    "CapacityView",
    "SettledCapacity",
    "SlotFilter",
    "order_seats",
]
