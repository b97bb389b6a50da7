"""Decides whether a request may be sent to another runner."""

from figshunt.directory import Repeatability
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch.attempt._shared_budget import SharedRetryBudget
from figshunt.types import Moment, PoolName

# Maximum number of runners that may refuse a request, in addition to those that
# may have run it.
MAX_REFUSALS = 3

# Minimum time to the deadline for a further attempt.
MIN_TIME_LEFT_MS = 40


class RetryPolicy:
    """Limits retries by the route, the time left and a budget per pool.

    The budget is shared with the other hosts.
    """

    def __init__(self, budget: SharedRetryBudget) -> None:
        self._budget = budget

    def record_first_attempt(self, pool: PoolName, now: Moment) -> None:
        """Count the first attempt of a request."""
        self._budget.record_request(pool, now)

    def may_requeue(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a request that a runner turned away waits for another one.

        The budget is used only once it is sent there.
        """
        return (
            routed.refusals < MAX_REFUSALS
            and routed.deadline_ms - now.monotonic_ms > MIN_TIME_LEFT_MS
        )

    def may_reassign(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a request that did not run may go to another runner."""
        return self.may_requeue(routed, now) and self._budget.take(routed.pool, now)

    def may_retry(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a request that may have run may be sent again."""
        repeatability = routed.route.repeatability
        if repeatability is Repeatability.RUN_ONCE or routed.trial is not None:
            return False
        if routed.answer_started and repeatability is not Repeatability.RESUMABLE:
            return False
        if routed.has_unnumbered_events:
            return False
        if routed.possible_runs >= routed.route.max_runners:
            return False
        if routed.deadline_ms - now.monotonic_ms <= MIN_TIME_LEFT_MS:
            return False
        return self._budget.take(routed.pool, now)
