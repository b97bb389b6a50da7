"""Tells when the event loop of a host is behind."""

import asyncio
import time

from mode import Service

from figshunt.runtime import EventLog
from figshunt.types import Clock, Step

CHECK_INTERVAL_MS = 200

# A host that is as late as this misses the targets of the shortest requests.
MIN_LOGGED_LAG_MS = 250


class LoopLagMonitor(Service):
    """Logs by how much the event loop is late, and what it did in that time.

    Much processor time means that the host has more work than its share of the
    processor allows; little means that the process was stopped.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        super().__init__()
        self._clock = clock
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        self._checked_ms = 0
        self._processor_s = 0.0

    async def on_started(self) -> None:
        """Begin the checks."""
        self._begin_check()

    async def on_stop(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _begin_check(self) -> None:
        self._checked_ms = self._clock.now().monotonic_ms
        self._processor_s = time.process_time()
        self._timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_MS / 1000, self._check
        )

    def _check(self) -> None:
        elapsed_ms = self._clock.now().monotonic_ms - self._checked_ms
        lag_ms = elapsed_ms - CHECK_INTERVAL_MS
        if lag_ms >= MIN_LOGGED_LAG_MS:
            self._log.write(
                "event_loop_behind",
                "warning",
                step=Step.DAEMON.value,
                lag_ms=lag_ms,
                processor_ms=round((time.process_time() - self._processor_s) * 1000),
            )
        self._begin_check()
