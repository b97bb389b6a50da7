"""Detects that the process was paused or the event loop was blocked."""

from collections.abc import Iterable

from figshunt.pipeline import Output
from figshunt.types import (
    ClockJumped,
    LogEvent,
    Message,
    Moment,
    Step,
    TimerDue,
    WakeAt,
)

WAKE_INTERVAL_MS = 250
MAX_GAP_MS = 1_000


class PauseFilter:
    """Yields :class:`ClockJumped` before the first message after a pause.

    The filter comes first in the pipeline. From the first :class:`TimerDue`
    on it schedules a wake-up every 250 ms, so a gap of more than
    ``MAX_GAP_MS`` between messages means that the process was stopped or the
    event loop was blocked. The wall clock is checked as well, because the
    monotonic clock stands still while a virtual machine is suspended. A
    forward step of the wall clock is treated as a pause, which is safe.
    """

    step = Step.PAUSE

    def __init__(self) -> None:
        self.accepts: tuple[type[Message], ...] = tuple(Message.__subclasses__())
        self._last_message_at: Moment | None = None

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        is_timer = isinstance(message, TimerDue)
        previous_message_at = self._last_message_at
        if previous_message_at is not None or is_timer:
            self._last_message_at = now
        if previous_message_at is not None:
            gap_ms = max(
                now.monotonic_ms - previous_message_at.monotonic_ms,
                now.wall_ms - previous_message_at.wall_ms,
            )
            if gap_ms > MAX_GAP_MS:
                yield LogEvent("clock_jumped", self.step, {"gap_ms": gap_ms})
                yield ClockJumped(gap_ms)
        if is_timer:
            yield WakeAt(now.monotonic_ms + WAKE_INTERVAL_MS)
        yield message
