"""Notices that the process did not run for a while."""

from collections.abc import Iterable

from figshunt.pipeline import Output
from figshunt.types import ClockJumped, Message, Moment, Step, TimerDue, WakeAt

TURN_MS = 250
LONGEST_GAP_MS = 1_000


class PauseFilter:
    """First in the chain: yields :class:`ClockJumped` before a late message.

    From the first :class:`TimerDue` on it asks for a turn every 250 ms, so a
    longer gap means that the process was stopped or the loop was blocked.
    The wall clock counts too, since the monotonic one stands still while a
    virtual machine is suspended; a step of the wall clock is taken for a
    pause, which is safe.
    """

    step = Step.PAUSE

    def __init__(self) -> None:
        self.accepts: tuple[type[Message], ...] = tuple(Message.__subclasses__())
        self._last_seen: Moment | None = None

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        is_timer = isinstance(message, TimerDue)
        last_seen = self._last_seen
        if last_seen is not None or is_timer:
            self._last_seen = now
        if last_seen is not None:
            gap_ms = max(
                now.monotonic_ms - last_seen.monotonic_ms,
                now.wall_ms - last_seen.wall_ms,
            )
            if gap_ms > LONGEST_GAP_MS:
                yield ClockJumped(gap_ms)
        if is_timer:
            yield WakeAt(now.monotonic_ms + TURN_MS)
        yield message
