"""Bounds how often one kind of event is logged."""

from figshunt.types import Clock


class EventLimit:
    """Lets one event through in each interval and counts the others."""

    def __init__(self, clock: Clock, interval_ms: int) -> None:
        self._clock = clock
        self._interval_ms = interval_ms
        self._next_ms: int | None = None
        self._suppressed = 0

    def admit(self) -> int | None:
        """Return how many events were suppressed, or ``None`` to suppress this."""
        now_ms = self._clock.now().monotonic_ms
        if self._next_ms is not None and now_ms < self._next_ms:
            self._suppressed += 1
            return None
        suppressed, self._suppressed = self._suppressed, 0
        self._next_ms = now_ms + self._interval_ms
        return suppressed
