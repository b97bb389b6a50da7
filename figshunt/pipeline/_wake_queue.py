"""Queue of the times at which the core has to be run."""

import heapq


class WakeQueue:
    """Priority queue of wake times without duplicates."""

    def __init__(self) -> None:
        self._times_ms: list[int] = []
        self._queued_times_ms: set[int] = set()

    def add(self, monotonic_ms: int) -> None:
        """Add a wake time."""
        if monotonic_ms not in self._queued_times_ms:
            self._queued_times_ms.add(monotonic_ms)
            heapq.heappush(self._times_ms, monotonic_ms)

    def next_ms(self) -> int | None:
        """Return the earliest wake time, if there is one."""
        return self._times_ms[0] if self._times_ms else None

    def pop_due(self, monotonic_ms: int) -> bool:
        """Remove all times up to ``monotonic_ms``; return whether any was due."""
        was_due = False
        while self._times_ms and self._times_ms[0] <= monotonic_ms:
            self._queued_times_ms.discard(heapq.heappop(self._times_ms))
            was_due = True
        return was_due
