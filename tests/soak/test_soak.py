"""A short soak of entry host processes, and regression seeds."""

import unittest

from tests.soak import (
    PLANNED_KINDS,
    FaultKind,
    SoakScale,
    draw_plan,
    draw_planned_work,
    run_hosts_without_peers,
    run_leaving_in_outage,
    run_named_limits,
    run_repeated_replies,
    run_soak,
)

SHORT_SEED = 7
SHORT_PERIOD_S = 4.0

# Seeds that have failed, each with the cause and the period in seconds in which it
# failed; a different period gives a different plan.
REGRESSION_RUNS: tuple[tuple[int, float], ...] = (
    # A fault stopped a host while another fault was restarting it.
    (106, 8.0),
    (123, 8.0),
    # SIGHUP, sent to reload the settings, ended a host that was still importing its
    # modules.
    (142, 8.0),
)

# Seeds of planned work that have failed, as above.
PLANNED_REGRESSION_RUNS: tuple[tuple[int, float], ...] = (
    # SIGHUP ended a host that was about to end by itself.
    (1, 12.0),
)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards against broken guarantees to callers when faults overlap."""

    async def test_short_soak(self) -> None:
        report = await run_soak(SHORT_SEED, SHORT_PERIOD_S)
        self.assertEqual((), report.violations)
        self.assertLess(0, report.results["200"])

    async def test_regression_seeds(self) -> None:
        """Repeats the plans that once showed a fault of the hosts or of the soak."""
        for seed, period_s in REGRESSION_RUNS:
            with self.subTest(seed=seed):
                report = await run_soak(seed, period_s)
                self.assertEqual((), report.violations)

    async def test_planned_work_loses_no_request(self) -> None:
        """Guards against whole requests that end with neither answer nor refusal."""
        for seed, period_s in ((SHORT_SEED, SHORT_PERIOD_S), *PLANNED_REGRESSION_RUNS):
            with self.subTest(seed=seed):
                report = await run_soak(seed, period_s, is_planned=True)
                self.assertEqual((), report.violations)
                self.assertLess(0, report.results["raw 200"])


class ScenarioTest(unittest.IsolatedAsyncioTestCase):
    """Guards against broken bounds in situations that last long."""

    async def test_hosts_that_do_not_find_each_other_share_the_retry_budget(
        self,
    ) -> None:
        scale = SoakScale(hosts=5, engines=5, bookings=4, requests_per_s=60.0)
        self.assertEqual([], await run_hosts_without_peers(1, scale))

    async def test_earlier_replies_that_are_sent_again_belong_to_no_request(
        self,
    ) -> None:
        """A booking must not run twice, nor after a reply that it has not run."""
        scale = SoakScale(hosts=5, engines=5, bookings=4, requests_per_s=60.0)
        self.assertEqual([], await run_repeated_replies(1, scale, rounds=2))

    async def test_earlier_refusals_do_not_refuse_repeats_under_the_same_id(
        self,
    ) -> None:
        scale = SoakScale(hosts=3, engines=2, bookings=1, requests_per_s=60.0)
        self.assertEqual([], await run_repeated_replies(1, scale, 2, max_repeats=3))

    async def test_hosts_together_keep_the_limits_that_runners_name(self) -> None:
        scale = SoakScale(hosts=5, engines=1, bookings=3, requests_per_s=60.0)
        self.assertEqual([], await run_named_limits(1, scale))

    async def test_runners_that_leave_while_the_store_is_silent_get_no_requests(
        self,
    ) -> None:
        violations = await run_leaving_in_outage(1, SoakScale(requests_per_s=60.0))
        self.assertEqual([], violations)


class PlanTest(unittest.TestCase):
    """Guards against plans that a seed does not reproduce or that omit fault kinds."""

    def test_same_seed_gives_the_same_plan(self) -> None:
        self.assertEqual(draw_plan(3, 8.0), draw_plan(3, 8.0))

    def test_every_fault_kind_is_drawn(self) -> None:
        drawn = {fault.kind for seed in range(30) for fault in draw_plan(seed, 8.0)}
        self.assertEqual(set(FaultKind), drawn)

    def test_same_seed_gives_the_same_planned_work_of_every_kind(self) -> None:
        plans = [draw_planned_work(seed, 8.0, 3) for seed in range(30)]
        self.assertEqual(plans, [draw_planned_work(seed, 8.0, 3) for seed in range(30)])
        drawn = {fault.kind for plan in plans for fault in plan}
        self.assertEqual(set(PLANNED_KINDS), drawn)
