"""Decides whether the balancer may send callers to this daemon."""

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
    TablesSettled,
    TimerDue,
    WakeAt,
)

# Idempotent requests need no claims, so a cell that can't grant keys must not
# keep its daemons from serving those.
GRANTS_LIMIT_MS = 15_000


class ReadinessFilter:
    """Reports ready once the tables are settled and keys are granted.

    Keys issued before a cell was founded are refused; a daemon that took
    callers earlier would refuse every keyed request of the first seconds.
    """

    step = Step.READINESS
    accepts: tuple[type[Message], ...] = (TablesSettled, StopRequested, TimerDue)

    def __init__(self, grants: KeyGrantsView) -> None:
        self._grants = grants
        self._settled_ms: int | None = None
        self._is_ready = False

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case TablesSettled():
                self._settled_ms = now.monotonic_ms
                yield WakeAt(now.monotonic_ms + GRANTS_LIMIT_MS)
            case StopRequested():
                self._settled_ms = None
                self._is_ready = False
                yield SetReady(False)
        yield from self._check(now)
        yield message

    def _check(self, now: Moment) -> Iterable[Output]:
        if self._settled_ms is None or self._is_ready:
            return
        grants_keys = self._grants.grants_keys(now)
        if grants_keys or now.monotonic_ms - self._settled_ms >= GRANTS_LIMIT_MS:
            self._is_ready = True
            yield LogEvent("daemon_ready", self.step, {"grants_keys": grants_keys})
            yield SetReady(True)
