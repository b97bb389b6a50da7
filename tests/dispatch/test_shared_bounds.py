"""Bounds on the sum over all hosts, which do not share their counters."""

import random
import unittest

from figshunt.directory import Repeatability
from figshunt.dispatch import (
    CallAttemptFailed,
    PeerStatusReceived,
    SharedBounds,
    StartCallAttempt,
)
from figshunt.types import AttemptFailure, SendState
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_published_route,
    build_published_runner,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver, select_effects

BOUNDS = SharedBounds()
COLD_PER_S = 13.0
STEP_MS = 10
MAX_ATTEMPTS_PER_S = COLD_PER_S * BOUNDS.cold_overshoot + BOUNDS.cold_slack


def max_attempts_per_s(times_ms: list[int]) -> int:
    """Return the largest number of attempts in any interval of one second."""
    times_ms = sorted(times_ms)
    return max(
        sum(1 for other in times_ms if start <= other < start + 1_000)
        for start in times_ms
    )


class ColdLimitTest(unittest.TestCase):
    """Guards against the overload of a cold runner by many hosts together."""

    def simulate_attempts(self, hosts: int, knows_peers: bool, seed: int) -> list[int]:
        """Return the times of all attempts at a pool with a single, cold runner.

        :param knows_peers: whether each host has received the status of all others.
        """
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
        if knows_peers:
            for number, driver in enumerate(drivers):
                for peer in range(hosts):
                    if peer != number:
                        driver.handle(
                            PeerStatusReceived(build_host_status(f"p{peer:02}"))
                        )
                driver.clock.advance(5_000)
        for driver in drivers:
            driver.list_runner(build_published_runner(cold_left_ms=60_000))
        times_ms: list[int] = []
        for step in range(300):
            for number, driver in enumerate(drivers):
                effects = driver.advance(STEP_MS)
                if random_source.random() < 0.5:
                    effects += driver.call(build_call(f"r{step}-{number}"))
                times_ms += [step * STEP_MS] * len(
                    select_effects(effects, StartCallAttempt)
                )
        return times_ms

    def test_sum_over_hosts_stays_within_the_bound(self) -> None:
        for hosts in (1, 2, 4, 5, 9, 30):
            for knows_peers in (True, False):
                # Until discovery ends, a host assumes at least 12 hosts, so the bound
                # can't hold with more of them.
                if not knows_peers and hosts > 12:
                    continue
                with self.subTest(hosts=hosts, knows_peers=knows_peers):
                    times_ms = self.simulate_attempts(hosts, knows_peers, seed=hosts)
                    self.assertTrue(times_ms)
                    self.assertLessEqual(
                        max_attempts_per_s(times_ms), MAX_ATTEMPTS_PER_S
                    )


class RepeatBudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load during an outage."""

    def count_retries(
        self, hosts: int, calls_per_host: int, knows_peers: bool = True
    ) -> int:
        """Return the number of retries if the runners lose every connection.

        :param knows_peers: whether each host has received the status of all others.
        """
        route = build_run_once_route(
            repeatability=Repeatability.REPEATABLE, max_runners=2
        )
        retries = 0
        for number in range(hosts):
            driver = CoreDriver(
                build_published_runner("b1", "bookings"),
                build_published_runner("b2", "bookings"),
                configuration=build_configuration(route),
                host=f"p{number:02}",
                expects_peers=hosts > 1,
            )
            for peer in range(hosts):
                if peer != number and knows_peers:
                    driver.handle(PeerStatusReceived(build_host_status(f"p{peer:02}")))
            driver.clock.advance(5_000)
            for call in range(calls_per_host):
                driver.call(build_call(f"r{call}", "/book/1"))
                while driver.core.attempts.in_flight:
                    driver.handle(
                        CallAttemptFailed(
                            driver.last_attempt().attempt_id,
                            AttemptFailure.CONNECTION_LOST,
                            SendState.MAY_HAVE_ARRIVED,
                            "reset",
                        )
                    )
            retries += len(driver.effects_of(StartCallAttempt)) - calls_per_host
        return retries

    def test_sum_over_hosts_stays_within_the_bound(self) -> None:
        for hosts in (1, 2, 5, 9, 30):
            for calls_per_host in (1, 20, 200):
                with self.subTest(hosts=hosts, calls_per_host=calls_per_host):
                    bound = (
                        BOUNDS.retry_share * hosts * calls_per_host + BOUNDS.retry_slack
                    )
                    retries = self.count_retries(hosts, calls_per_host)
                    self.assertGreater(retries, 0)
                    self.assertLessEqual(retries, bound)

    def test_sum_stays_within_the_bound_if_hosts_do_not_find_each_other(self) -> None:
        """The hosts that the settings name may all be down or replaced."""
        for hosts in (2, 5, 9):
            for calls_per_host in (20, 200):
                with self.subTest(hosts=hosts, calls_per_host=calls_per_host):
                    bound = (
                        BOUNDS.retry_share * hosts * calls_per_host + BOUNDS.retry_slack
                    )
                    retries = self.count_retries(hosts, calls_per_host, False)
                    self.assertGreater(retries, 0)
                    self.assertLessEqual(retries, bound)

    def test_single_host_uses_the_whole_bound(self) -> None:
        self.assertLess(BOUNDS.retry_slack / 2, self.count_retries(1, 40))


if __name__ == "__main__":
    unittest.main()
