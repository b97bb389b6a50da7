"""Refuses calls that this host can't complete before it stops."""

from collections.abc import Iterable
from enum import Enum

from figshunt.dispatch._messages import CallRouted, DrainStarted, GraceEnded
from figshunt.dispatch.admission._refusal import refuse_call
from figshunt.pipeline import Output
from figshunt.types import ErrorCode, Message, Moment, RunOutcome, Step

# Other hosts serve the caller meanwhile, so that it may return at once.
RETRY_AFTER_MS = 100


class DrainState(Enum):
    """How far a host has come with its stop."""

    SERVING = "serving"
    DRAINING = "draining"
    ENDED = "ended"


class DrainFilter:
    """Passes calls on while this host can complete them.

    Callers are sent to other hosts soon after a stop begins. A call that is received
    completely after that, on a connection that is still open, is passed on only if its
    deadline is before the end of the grace period. Others would be cut off.
    """

    step = Step.DRAIN
    accepts: tuple[type[Message], ...] = (DrainStarted, GraceEnded, CallRouted)

    def __init__(self) -> None:
        self._state = DrainState.SERVING
        self._accepts_until_ms = 0
        self._ends_ms = 0

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case DrainStarted(accepts_until_ms, ends_ms):
                self._state = DrainState.DRAINING
                self._accepts_until_ms = accepts_until_ms
                self._ends_ms = ends_ms
            case GraceEnded():
                self._state = DrainState.ENDED
                yield message
            case CallRouted(routed):
                if self._may_complete(routed.deadline_ms, now):
                    yield message
                else:
                    yield from refuse_call(
                        routed.call_id,
                        ErrorCode.STOPPING,
                        self.step,
                        RunOutcome.NOT_RUN,
                        retry_after_ms=RETRY_AFTER_MS,
                        state=self._state.value,
                        ends_in_ms=self._ends_ms - now.monotonic_ms,
                    )

    def _may_complete(self, deadline_ms: int, now: Moment) -> bool:
        match self._state:
            case DrainState.SERVING:
                return True
            case DrainState.DRAINING:
                is_early = now.monotonic_ms <= self._accepts_until_ms
                return is_early or deadline_ms <= self._ends_ms
            case DrainState.ENDED:
                return False
