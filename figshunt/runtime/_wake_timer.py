"""Timer for the wake times that a core requests."""

import asyncio
from collections.abc import Callable

from figshunt.pipeline import WakeQueue
from figshunt.types import Clock


class WakeTimer:
    """Calls ``on_due`` on the running loop when a wake time is reached."""

    def __init__(self, clock: Clock, on_due: Callable[[], None]) -> None:
        self._clock = clock
        self._on_due = on_due
        self._queue = WakeQueue()
        self._handle: asyncio.TimerHandle | None = None

    def wake_at(self, monotonic_ms: int) -> None:
        """Add a wake time."""
        self._queue.add(monotonic_ms)
        if self._queue.next_ms() == monotonic_ms:
            self._schedule()

    def stop(self) -> None:
        """Cancel the pending call."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self) -> None:
        self.stop()
        due_ms = self._queue.next_ms()
        if due_ms is not None:
            wait_ms = max(1, due_ms - self._clock.now().monotonic_ms)
            self._handle = asyncio.get_running_loop().call_later(
                wait_ms / 1000, self._on_timeout
            )

    def _on_timeout(self) -> None:
        if self._queue.pop_due(self._clock.now().monotonic_ms):
            self._on_due()
        self._schedule()
