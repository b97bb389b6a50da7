"""Decides whether a request may be sent to another runner."""

from figshunt.directory import Repeatability
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch.fleet._cold_limit import RETRY_BOUND_SHARE, SharedBounds
from figshunt.dispatch.fleet._peer_filter import PeersView
from figshunt.policy import RetryBudget
from figshunt.types import Moment, PoolName

# Maximum number of runners that may refuse a request, in addition to those that
# may have run it.
MAX_REFUSALS = 3

# Minimum time to the deadline for a further attempt.
MIN_TIME_LEFT_MS = 40


class RetryPolicy:
    """Limits retries by the route, the time left and a budget per pool.

    The budget is this host's part of the retries that all hosts together may
    make: a share of its own requests or, if that is more, its part of a fixed
    number that is divided equally among the known hosts.
    """

    def __init__(self, peers: PeersView, bounds: SharedBounds) -> None:
        self._peers = peers
        self._bounds = bounds
        self._budgets_by_pool: dict[PoolName, RetryBudget] = {}

    def record_first_attempt(self, pool: PoolName, now: Moment) -> None:
        """Count the first attempt of a request."""
        self._budget(pool).record_first_attempt(now)

    def may_reassign(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a request that did not run may go to another runner."""
        return (
            routed.refusals < MAX_REFUSALS
            and routed.deadline_ms - now.monotonic_ms > MIN_TIME_LEFT_MS
            and self._take_from_budget(routed.pool, now)
        )

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
        return self._take_from_budget(routed.pool, now)

    def _take_from_budget(self, pool: PoolName, now: Moment) -> bool:
        budget = self._budget(pool)
        hosts = self._peers.rank(now).hosts
        budget.min_retries = int(self._bounds.retry_slack * RETRY_BOUND_SHARE / hosts)
        return budget.try_consume_retry(now)

    def _budget(self, pool: PoolName) -> RetryBudget:
        budget = self._budgets_by_pool.get(pool)
        if budget is None:
            share = self._bounds.retry_share * RETRY_BOUND_SHARE
            budget = RetryBudget(share, 0, self._bounds.retry_window_ms)
            self._budgets_by_pool[pool] = budget
        return budget
