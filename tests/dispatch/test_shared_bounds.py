"""Bounds on the sum over all hosts, with hosts that can't see each other."""

import random
import unittest

from figshunt.directory import Repeatability
from figshunt.dispatch import PeerHeard, SendCall, SendFailed, SharedBounds
from figshunt.types import AttemptFailure, SendState
from tests.builders import (
    build_booking_route,
    build_call,
    build_configuration,
    build_host_status,
    build_published_route,
    build_published_runner,
)
from tests.dispatch.driver import CoreDriver, select

BOUNDS = SharedBounds()
COLD_PER_S = 13.0
STEP_MS = 10
MOST_IN_A_SECOND = COLD_PER_S * BOUNDS.cold_overshoot + BOUNDS.cold_slack


def most_in_a_second(times_ms: list[int]) -> int:
    times_ms = sorted(times_ms)
    return max(
        sum(1 for other in times_ms if start <= other < start + 1_000)
        for start in times_ms
    )


class ColdLimitTest(unittest.TestCase):
    """Guards against a cold runner that gets more than it can carry."""

    def play(self, hosts: int, settled: bool, seed: int) -> list[int]:
        """Return when sends to the only, cold runner of a pool were made."""
        random_source = random.Random(seed)
        route = build_published_route()
        drivers = [
            CoreDriver(
                configuration=build_configuration(route),
                seed=seed + number,
                host=f"p{number:02}",
            )
            for number in range(hosts)
        ]
        if settled:
            for number, driver in enumerate(drivers):
                for peer in range(hosts):
                    if peer != number:
                        driver.feed(PeerHeard(build_host_status(f"p{peer:02}")))
                driver.clock.advance(5_000)
        for driver in drivers:
            driver.list_runner(build_published_runner(cold_left_ms=60_000))
        times_ms: list[int] = []
        for step in range(300):
            for number, driver in enumerate(drivers):
                effects = driver.pass_time(STEP_MS)
                if random_source.random() < 0.5:
                    effects += driver.call(build_call(f"r{step}-{number}"))
                times_ms += [step * STEP_MS] * len(select(effects, SendCall))
        return times_ms

    def test_sum_over_hosts_stays_below_the_bound(self) -> None:
        for hosts in (1, 2, 4, 5, 9, 30):
            for settled in (True, False):
                if not settled and hosts > 12:
                    continue
                with self.subTest(hosts=hosts, settled=settled):
                    times_ms = self.play(hosts, settled, seed=hosts)
                    self.assertTrue(times_ms)
                    self.assertLessEqual(most_in_a_second(times_ms), MOST_IN_A_SECOND)


class RepeatBudgetTest(unittest.TestCase):
    """Guards against repeats that multiply the load of an outage."""

    def repeats_in_a_window(self, hosts: int, per_host: int) -> int:
        """Return the repeats of a pool whose runners lose every request."""
        route = build_booking_route(
            repeatability=Repeatability.REPEATABLE, most_runners=2
        )
        repeats = 0
        for number in range(hosts):
            driver = CoreDriver(
                build_published_runner("b1", "bookings"),
                build_published_runner("b2", "bookings"),
                configuration=build_configuration(route),
                host=f"p{number:02}",
            )
            for peer in range(hosts):
                if peer != number:
                    driver.feed(PeerHeard(build_host_status(f"p{peer:02}")))
            driver.clock.advance(5_000)
            for call in range(per_host):
                driver.call(build_call(f"r{call}", "/book/1"))
                while driver.core.sends.in_flight:
                    driver.feed(
                        SendFailed(
                            driver.last_send().attempt_id,
                            AttemptFailure.CONNECTION_LOST,
                            SendState.MAY_HAVE_ARRIVED,
                            "reset",
                        )
                    )
            repeats += len(driver.all_of(SendCall)) - per_host
        return repeats

    def test_sum_over_hosts_stays_below_the_bound(self) -> None:
        for hosts in (1, 2, 5, 9, 30):
            for per_host in (1, 20, 200):
                with self.subTest(hosts=hosts, per_host=per_host):
                    bound = BOUNDS.retry_share * hosts * per_host + BOUNDS.retry_slack
                    repeats = self.repeats_in_a_window(hosts, per_host)
                    self.assertGreater(repeats, 0)
                    self.assertLessEqual(repeats, bound)


if __name__ == "__main__":
    unittest.main()
