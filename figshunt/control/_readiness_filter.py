"""Decides when the load balancer may send requests to this daemon."""

from collections.abc import Iterable

from figshunt.control._views import KeyGrantsView
from figshunt.pipeline import Output
from figshunt.types import (
    LogEvent,
    Message,
    Moment,
    SetReady,
    Step,
    StopRequested,
    TablesSynchronized,
    TimerDue,
    WakeAt,
)

# Idempotent requests need no claims, so daemons become ready after this time
# even if their cell can't grant keys.
GRANTS_TIMEOUT_MS = 15_000


class ReadinessFilter:
    """Reports ready once the tables are synchronized and the cell grants keys.

    Keys issued before a cell was founded are refused, so a daemon that became
    ready earlier would refuse every keyed request of its first seconds.
    """

    step = Step.READINESS
    accepts: tuple[type[Message], ...] = (TablesSynchronized, StopRequested, TimerDue)

    def __init__(self, grants: KeyGrantsView) -> None:
        self._grants = grants
        self._synchronized_ms: int | None = None
        self._is_ready = False

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case TablesSynchronized():
                self._synchronized_ms = now.monotonic_ms
                yield WakeAt(now.monotonic_ms + GRANTS_TIMEOUT_MS)
            case StopRequested():
                self._synchronized_ms = None
                self._is_ready = False
                yield SetReady(False)
        yield from self._report_when_ready(now)
        yield message

    def _report_when_ready(self, now: Moment) -> Iterable[Output]:
        if self._synchronized_ms is None or self._is_ready:
            return
        is_granting_keys = self._grants.is_granting_keys(now)
        if (
            is_granting_keys
            or now.monotonic_ms - self._synchronized_ms >= GRANTS_TIMEOUT_MS
        ):
            self._is_ready = True
            yield LogEvent("daemon_ready", self.step, {"grants_keys": is_granting_keys})
            yield SetReady(True)
