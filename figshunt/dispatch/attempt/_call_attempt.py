"""The record of one request that was sent to a runner."""

from dataclasses import dataclass

from figshunt.directory import PublishedRunner
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._messages import ReplyEvent
from figshunt.types import AttemptId

# A request that can be sent again goes to another runner if neither its first
# event nor its complete answer has arrived after this multiple of its latency
# target, or after three times the expected time to its first event if that is
# longer.
STALL_TARGET_FACTOR = 1.5

# A resumable stream goes to another runner if no event arrives for this
# multiple of its gap target.
STALL_GAP_FACTOR = 5

MIN_STALL_MS = 250


@dataclass(slots=True)
class CallAttempt:
    """One attempt in flight, with the times needed to detect a stall.

    ``held_event`` is an event that is forwarded once the next one confirms its place
    in the stream. ``first_event_id`` is the id of the first event that was forwarded.
    ``has_regular_events`` is set while each one had an id and data.
    ``is_delimited`` is unset once the answer is known to end with its connection.
    ``events`` counts those that were forwarded.
    """

    attempt_id: AttemptId
    runner: PublishedRunner
    routed: RoutedCall
    started_ms: int
    expected_first_ms: int
    last_received_ms: int
    has_first_event: bool = False
    first_ms: int | None = None
    longest_gap_ms: int = 0
    held_event: ReplyEvent | None = None
    first_event_id: int | None = None
    has_regular_events: bool = True
    is_delimited: bool = True
    events: int = 0

    @property
    def stall_ms(self) -> int:
        """Return the time at which the attempt counts as stalled if no data arrives."""
        route = self.routed.route
        if self.has_first_event:
            gap_ms = route.gap_target_ms or route.target_ms
            return self.last_received_ms + max(
                MIN_STALL_MS, int(gap_ms * STALL_GAP_FACTOR)
            )
        wait_ms = max(
            MIN_STALL_MS,
            int(route.target_ms * STALL_TARGET_FACTOR),
            3 * self.expected_first_ms,
        )
        return self.started_ms + wait_ms
