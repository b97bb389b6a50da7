"""A request that is at a runner."""

from dataclasses import dataclass

from figshunt.directory import PublishedRunner
from figshunt.dispatch._call import RoutedCall
from figshunt.types import AttemptId

# A repeatable request whose answer hasn't begun is tried elsewhere after this
# many times its latency target, and a resumable stream that falls silent after
# this many times its gap target.
STALLED_TARGETS = 1.5
SILENT_GAP_TARGETS = 5
LEAST_STALL_MS = 250


@dataclass(slots=True)
class Send:
    """One send in flight."""

    attempt_id: AttemptId
    runner: PublishedRunner
    routed: RoutedCall
    started_ms: int
    expected_first_ms: int
    last_heard_ms: int
    has_begun: bool = False
    first_ms: int | None = None
    longest_gap_ms: int = 0

    @property
    def stall_ms(self) -> int:
        """Return when the send is taken for stalled if nothing is heard."""
        route = self.routed.route
        if self.has_begun:
            gap_ms = route.gap_target_ms or route.target_ms
            return self.last_heard_ms + max(
                LEAST_STALL_MS, int(gap_ms * SILENT_GAP_TARGETS)
            )
        wait_ms = max(
            LEAST_STALL_MS,
            int(route.target_ms * STALLED_TARGETS),
            3 * self.expected_first_ms,
        )
        return self.started_ms + wait_ms
