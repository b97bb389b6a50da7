"""The retry budget that all hosts share."""

import unittest
from collections.abc import Callable
from math import ceil

from figshunt.dispatch import PeerStatusReceived, RepeatNotice, SharedBounds
from figshunt.dispatch.attempt._shared_budget import EQUAL_SHARE
from figshunt.dispatch.fleet._peer_filter import DISCOVERY_MS
from tests.builders import build_call, build_host_status, build_published_runner
from tests.dispatch.budget_fleet import HEARTBEAT_MS, POOL, STEP_MS, BudgetFleet
from tests.dispatch.driver import CoreDriver

HOSTS = 90
SLACK = 220
BOUNDS = SharedBounds(retry_slack=SLACK)
REQUESTS_PER_S = 56
WARM_UP_MS = 12_000
DURATION_MS = 20_000

# What each host could retry in a window when the number was divided equally.
OLD_EQUAL_PART = int(SLACK * 0.7 / HOSTS)


def run_refusals(
    refusing_hosts: range,
    loss: float = 0.0,
    fail: Callable[[BudgetFleet], None] = lambda fleet: None,
) -> BudgetFleet:
    """Return a fleet, some hosts of which had all their requests refused.

    :param fail: is called in each step, and lets links or hosts fail.
    """
    fleet = BudgetFleet(HOSTS, BOUNDS)
    fleet.delivers = lambda sender, receiver: fleet.random.random() >= loss
    fleet.run(WARM_UP_MS)

    def act() -> None:
        fail(fleet)
        for number in range(HOSTS):
            if fleet.random.random() < REQUESTS_PER_S / HOSTS * STEP_MS / 1_000:
                fleet.request(number, 3 if number in refusing_hosts else 0)

    fleet.run(DURATION_MS, act)
    return fleet


class SharedBudgetTest(unittest.TestCase):
    """Guards against calls handed back although the budget has room, and its excess."""

    def test_few_hosts_use_several_times_their_equal_parts(self) -> None:
        hosts = range(0, HOSTS, 15)
        windows = DURATION_MS / BOUNDS.retry_window_ms
        fleet = run_refusals(hosts)
        old_repeats = OLD_EQUAL_PART * len(hosts) * windows
        self.assertGreater(len(fleet.repeats_ms), 4 * old_repeats)
        self.assertLessEqual(fleet.find_excess(), 1)

    def test_sum_stays_within_the_bound_with_lost_datagrams(self) -> None:
        for loss in (0.05, 0.5):
            with self.subTest(loss=loss):
                fleet = run_refusals(range(HOSTS), loss)
                self.assertGreater(len(fleet.repeats_ms), SLACK / 2)
                self.assertLessEqual(fleet.find_excess(), 1)

    def test_sum_stays_within_the_bound_if_hosts_or_links_fail(self) -> None:
        def restart_some(fleet: BudgetFleet) -> None:
            if fleet.now_ms % 200 == 0:
                fleet.restart(fleet.random.randrange(HOSTS))

        def restart_all(fleet: BudgetFleet) -> None:
            if fleet.now_ms == WARM_UP_MS + DURATION_MS // 2:
                for number in range(HOSTS):
                    fleet.restart(number)

        def part(fleet: BudgetFleet) -> None:
            if fleet.now_ms == WARM_UP_MS + DURATION_MS // 2:
                fleet.delivers = lambda sender, receiver: (sender < 45) == (
                    receiver < 45
                )

        def deafen(fleet: BudgetFleet) -> None:
            if fleet.now_ms == WARM_UP_MS + DURATION_MS // 2:
                fleet.delivers = lambda sender, receiver: sender >= 45 or receiver < 45

        cases = (
            (restart_all, range(HOSTS)),
            (part, range(HOSTS)),
            (restart_some, range(0, HOSTS, 9)),
            (deafen, range(0, HOSTS, 9)),
        )
        for fail, refusing_hosts in cases:
            with self.subTest(fail=fail.__name__):
                fleet = run_refusals(refusing_hosts, fail=fail)
                self.assertTrue(fleet.repeats_ms)
                self.assertLessEqual(fleet.find_excess(), 1)

    def test_sum_stays_within_the_bound_if_all_hosts_pause(self) -> None:
        for pause_ms in (3_000, 9_500):
            with self.subTest(pause_ms=pause_ms):
                fleet = run_refusals(range(HOSTS))
                fleet.pause(pause_ms)
                for number in range(HOSTS):
                    fleet.request(number, 30)
                fleet.run(
                    5_000, lambda: fleet.request(fleet.random.randrange(HOSTS), 3)
                )
                self.assertLessEqual(fleet.find_excess(), 1)

    def test_hosts_new_to_a_pool_count_what_a_lost_peer_used(self) -> None:
        hosts = 20
        fleet = BudgetFleet(hosts, BOUNDS)
        fleet.run(WARM_UP_MS)
        for late_count in (SLACK, 0):
            fleet.report(0, RepeatNotice(POOL, 0, late_count, True))
        fleet.delivers = lambda sender, receiver: sender != 0
        fleet.run(8_000, lambda: fleet.request(hosts - 1, 3))
        requests = len(fleet.requests_ms)
        equal_part = SLACK / hosts + BOUNDS.retry_share * requests
        self.assertLessEqual(len(fleet.repeats_ms), ceil(equal_part / 2))

    def test_few_hosts_retry_as_often_as_with_equal_parts_alone(self) -> None:
        for hosts in (4, 13):
            with self.subTest(hosts=hosts):
                fleet = BudgetFleet(hosts, BOUNDS)
                fleet.run(DISCOVERY_MS + HEARTBEAT_MS)
                fleet.request(0, SLACK)
                self.assertGreaterEqual(len(fleet.repeats_ms), int(SLACK * 0.7 / hosts))
                for number in range(1, hosts):
                    fleet.request(number, SLACK)
                self.assertLessEqual(fleet.find_excess(), 1)

    def test_equal_parts_add_up_to_their_share(self) -> None:
        fleet = BudgetFleet(HOSTS, BOUNDS)
        fleet.run(WARM_UP_MS)
        fleet.pause(1_000)
        for number in range(HOSTS):
            fleet.request(number, SLACK)
        share = EQUAL_SHARE * (SLACK + BOUNDS.retry_share * HOSTS)
        self.assertAlmostEqual(share, len(fleet.repeats_ms), delta=2)

    def test_statuses_reach_the_budget(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.call(build_call("r1"))
        pool = build_published_runner().pool
        notice = RepeatNotice(pool, 30, 2, is_over_equal_part=True)
        driver.handle(PeerStatusReceived(build_host_status(repeats=(notice,))))
        reported = driver.core.attempts.repeat_notices(driver.clock.now())
        self.assertEqual([pool], [notice.pool for notice in reported])


if __name__ == "__main__":
    unittest.main()
