"""A clock that includes the time for which the machine was suspended."""

import time

from figshunt.types import Moment


class BootClock:
    """Implements :class:`figshunt.types.Clock` with the time since boot.

    Unlike ``CLOCK_MONOTONIC`` it includes suspension, and unlike the wall
    clock it never jumps, so a process that resumes finds its deadlines expired.
    """

    def now(self) -> Moment:
        """Return the current moment."""
        return Moment(
            time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000,
            time.time_ns() // 1_000_000,
        )
