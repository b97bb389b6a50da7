"""Time that goes on while the machine is suspended."""

import time

from figshunt.types import Moment


class BootClock:
    """Meets :class:`figshunt.types.Clock` with time since the machine's start.

    Unlike the steady clock it counts suspension, and unlike the time of day
    it never jumps, so a process that was suspended sees its deadlines passed.
    """

    def now(self) -> Moment:
        """Return the current moment."""
        return Moment(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
            time.time_ns() // 1_000_000,
        )
