"""Whether a request may be sent to one more runner."""

from figshunt.directory import Repeatability
from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._cold_limit import USED_SHARE, SharedBounds
from figshunt.dispatch._peer_filter import PeersView
from figshunt.policy import RetryBudget
from figshunt.types import Moment, PoolName

# A request that nobody ran may be offered to this many runners besides those
# that may have run it.
MOST_REFUSALS = 3

# No further send is started with less time than this left.
LEAST_TIME_LEFT_MS = 40


class RepeatPolicy:
    """Bounds repeats by the route, the time left and this host's budget.

    The budget is this host's part of what all hosts together may repeat: a
    share of its own requests, and of the fixed number as much as each host of
    those that are known gets.
    """

    def __init__(self, peers: PeersView, bounds: SharedBounds) -> None:
        self._peers = peers
        self._bounds = bounds
        self._budgets_by_pool: dict[PoolName, RetryBudget] = {}

    def record_first(self, pool: PoolName, now: Moment) -> None:
        """Count a request that is sent for the first time."""
        self._budget(pool).record_first_try(now)

    def may_offer(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a request that wasn't run may go to another runner."""
        return (
            routed.refusals < MOST_REFUSALS
            and routed.deadline_ms - now.monotonic_ms > LEAST_TIME_LEFT_MS
            and self._take(routed.pool, now)
        )

    def may_repeat(self, routed: RoutedCall, now: Moment) -> bool:
        """Return whether a request that may have run may be sent again."""
        repeatability = routed.route.repeatability
        if repeatability is Repeatability.RUN_ONCE:
            return False
        if routed.answering and repeatability is not Repeatability.RESUMABLE:
            return False
        if routed.sends >= routed.route.most_runners:
            return False
        if routed.deadline_ms - now.monotonic_ms <= LEAST_TIME_LEFT_MS:
            return False
        return self._take(routed.pool, now)

    def _take(self, pool: PoolName, now: Moment) -> bool:
        budget = self._budget(pool)
        hosts = self._peers.rank(now).hosts
        budget.least = int(self._bounds.retry_slack * USED_SHARE / hosts)
        return budget.take_retry(now)

    def _budget(self, pool: PoolName) -> RetryBudget:
        budget = self._budgets_by_pool.get(pool)
        if budget is None:
            share = self._bounds.retry_share * USED_SHARE
            budget = RetryBudget(share, 0, self._bounds.retry_window_ms)
            self._budgets_by_pool[pool] = budget
        return budget
