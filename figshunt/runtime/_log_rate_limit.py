"""Rate limit for log events of one kind."""

from figshunt.types import Clock


class LogRateLimit:
    """Admits one event per interval and counts those that are suppressed."""

    def __init__(self, clock: Clock, interval_ms: int) -> None:
        self._clock = clock
        self._interval_ms = interval_ms
        self._next_admission_ms: int | None = None
        self._suppressed = 0

    def admit(self) -> int | None:
        """Return how many events were suppressed before this one.

        The result is ``None`` if this event must be suppressed too.
        """
        now_ms = self._clock.now().monotonic_ms
        if self._next_admission_ms is not None and now_ms < self._next_admission_ms:
            self._suppressed += 1
            return None
        suppressed, self._suppressed = self._suppressed, 0
        self._next_admission_ms = now_ms + self._interval_ms
        return suppressed
