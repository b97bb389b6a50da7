"""Runner slots: ownership by seat, lending between seats, and their use.

A slot allows one attempt at a time on a runner.
"""

from figshunt.slots._ownership import (
    order_seats,
)
from figshunt.slots._slot_filter import (
    SlotFilter,
)
from figshunt.slots._synchronized_capacity import (
    SynchronizedCapacity,
)
from figshunt.slots._views import (
    CapacityView,
)

__all__ = [
    "CapacityView",
    "SlotFilter",
    "SynchronizedCapacity",
    "order_seats",
]
