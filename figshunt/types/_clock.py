"""Monotonic and wall-clock time in integer milliseconds."""

import time
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Moment:
    """One reading of the monotonic clock and the wall clock.

    ``monotonic_ms`` is for the order of events and for durations within one
    process. ``wall_ms`` (since the Unix epoch) is only for values that are
    compared with those of other hosts or shown to users.
    """

    monotonic_ms: int
    wall_ms: int

    def plus(self, duration_ms: int) -> "Moment":
        """Return the moment ``duration_ms`` later."""
        return Moment(self.monotonic_ms + duration_ms, self.wall_ms + duration_ms)


class Clock(Protocol):
    """Source of :class:`Moment` readings."""

    def now(self) -> Moment:
        """Return the current moment."""


class SystemClock:
    """The operating system's clocks."""

    def now(self) -> Moment:
        """Return the current moment."""
        return Moment(time.monotonic_ns() // 1_000_000, time.time_ns() // 1_000_000)


class ManualClock:
    """A clock that is advanced explicitly, for tests and virtual time."""

    def __init__(self, start: Moment = Moment(0, 1_800_000_000_000)) -> None:
        self._now = start

    def now(self) -> Moment:
        """Return the current moment."""
        return self._now

    def advance(self, duration_ms: int) -> Moment:
        """Move both readings forward by ``duration_ms`` and return the result."""
        self._now = self._now.plus(duration_ms)
        return self._now
