"""The retry budget that all hosts share."""

import unittest
from collections.abc import Callable

from benchmarks.virtual_budget import STEP_MS, BudgetFleet
from figshunt.dispatch import PeerStatusReceived, RepeatNotice, SharedBounds
from tests.builders import build_call, build_host_status, build_published_runner
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

    def test_statuses_reach_the_budget(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.call(build_call("r1"))
        pool = build_published_runner().pool
        notice = RepeatNotice(pool, 30, 2, is_in_need=True)
        driver.handle(PeerStatusReceived(build_host_status(repeats=(notice,))))
        told = driver.core.attempts.repeat_notices(driver.clock.now())
        self.assertEqual([pool], [notice.pool for notice in told])


if __name__ == "__main__":
    unittest.main()
