"""Times at which the core asked to be woken."""

import heapq


class WakeQueue:
    """Holds wake times; equal times are held once."""

    def __init__(self) -> None:
        self._times_ms: list[int] = []
        self._held: set[int] = set()

    def add(self, monotonic_ms: int) -> None:
        """Add a wake time."""
        if monotonic_ms not in self._held:
            self._held.add(monotonic_ms)
            heapq.heappush(self._times_ms, monotonic_ms)

    def next_ms(self) -> int | None:
        """Return the earliest wake time, if there is one."""
        return self._times_ms[0] if self._times_ms else None

    def take_due(self, monotonic_ms: int) -> bool:
        """Remove all times up to ``monotonic_ms``; return whether any was due."""
        was_due = False
        while self._times_ms and self._times_ms[0] <= monotonic_ms:
            self._held.discard(heapq.heappop(self._times_ms))
            was_due = True
        return was_due
