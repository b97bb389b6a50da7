"""Limits that runners name, which bind all hosts together."""

import dataclasses
import unittest
from collections import Counter

from figshunt.dispatch import AnswerError, ReplyComplete, StartCallAttempt
from figshunt.types import RouteName
from tests.builders import (
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver
from tests.dispatch.limited_fleet import DISCOVERY_MS, WINDOW_MS, LimitedFleet

LOADED_MS = 12_000


class NamedLimitTest(unittest.TestCase):
    """Guards against a runner in need that gets more requests than it takes."""

    def test_sum_over_hosts_stays_within_the_limit(self) -> None:
        for hosts in (1, 2, 5, 12, 30):
            for limit_per_s in (0.0, 1.0, 2.5, 12.0):
                for hears in (True, False):
                    # A host that hears none can't know of more than twelve.
                    if not hears and hosts > 12:
                        continue
                    with self.subTest(hosts=hosts, limit=limit_per_s, hears=hears):
                        fleet = LimitedFleet(hosts, limit_per_s, hears=hears)
                        fleet.run(LOADED_MS, dict.fromkeys(range(hosts), 100))
                        self.assertTrue(fleet.arrivals)
                        self.assertLessEqual(fleet.worst_excess(), 0)

    def test_limit_holds_while_messages_are_lost_and_hosts_start_and_freeze(
        self,
    ) -> None:
        for hosts in (3, 5, 12):
            for seed in range(3):
                with self.subTest(hosts=hosts, seed=seed):
                    fleet = LimitedFleet(hosts, 1.7, loss=0.1, seed=seed)
                    loads = dict.fromkeys(range(hosts), 100)
                    for host in range(3):
                        fleet.run(1_500, loads)
                        fleet.restart(host)
                        fleet.freeze((host + 1) % hosts)
                        fleet.run(1_500, loads)
                        fleet.thaw((host + 1) % hosts)
                    fleet.run(LOADED_MS, loads)
                    self.assertLessEqual(fleet.worst_excess(), 0)

    def test_limit_holds_while_hosts_cease_to_hear_each_other(self) -> None:
        for hosts in (2, 5, 12):
            for limit_per_s in (1.0, 2.5, 12.0):
                with self.subTest(hosts=hosts, limit=limit_per_s):
                    fleet = LimitedFleet(hosts, limit_per_s, loss=0.02)
                    loads = dict.fromkeys(range(hosts), 100)
                    for hears, duration_ms in ((True, 6_000), (False, 10_000)) * 2:
                        fleet.hears = hears
                        fleet.run(duration_ms, loads)
                    self.assertLessEqual(fleet.worst_excess(), 0)

    def test_one_host_gets_what_the_others_leave(self) -> None:
        """Guards against places that stay unused while calls wait at one host."""
        for hosts in (1, 5, 12):
            for limit_per_s in (1.0, 2.5):
                with self.subTest(hosts=hosts, limit=limit_per_s):
                    fleet = LimitedFleet(hosts, limit_per_s)
                    fleet.run(LOADED_MS, {0: 50})
                    since_ms = fleet.now_ms
                    fleet.run(2 * WINDOW_MS, {0: 50})
                    places = limit_per_s * 2 * WINDOW_MS / 1_000
                    # A place may be used by the next call only.
                    self.assertGreaterEqual(fleet.count_since(since_ms), places - 2)
                    self.assertLessEqual(fleet.worst_excess(), 0)

    def test_lifted_limit_binds_no_host(self) -> None:
        fleet = LimitedFleet(3, 1.0)
        fleet.run(LOADED_MS, {0: 100, 1: 100, 2: 100})
        fleet.limit_per_s = None
        fleet.run(WINDOW_MS, {0: 100, 1: 100, 2: 100})
        since_ms = fleet.now_ms
        fleet.run(WINDOW_MS, {0: 100, 1: 100, 2: 100})
        self.assertGreater(fleet.count_since(since_ms), 90)

    def test_calls_that_a_limit_holds_back_go_to_others_by_priority(self) -> None:
        route = build_run_once_route(target_ms=1_000, timeout_ms=10_000)
        urgent = dataclasses.replace(
            route, name=RouteName("urgent"), path_prefix="/urgent/", urgency=0
        )
        driver = CoreDriver(
            build_published_runner("b1", "bookings"),
            build_published_runner("b2", "bookings"),
            configuration=build_configuration(build_published_route(), route, urgent),
        )
        driver.advance(DISCOVERY_MS)
        head = build_reply_head(names_limit=True, limit_per_s=1.0)
        sent_by_runner: Counter[str] = Counter()
        for number in range(20):
            driver.call(build_call(f"r{number}", "/book/1"))
            start = driver.last_attempt()
            sent_by_runner[start.runner_id] += 1
            is_limited = start.runner_id == "b1"
            reply = head if is_limited else build_reply_head()
            driver.handle(ReplyComplete(start.attempt_id, reply, b""))
            driver.advance(10)
        self.assertEqual(20, sum(sent_by_runner.values()))
        self.assertLessEqual(sent_by_runner["b1"], 2)
        driver.unlist_runner("b2")
        driver.effects.clear()
        driver.call(build_call("plain", "/book/1"))
        driver.call(build_call("urgent", "/urgent/1"))
        self.assertEqual([], driver.effects_of(StartCallAttempt))
        while not driver.effects_of(StartCallAttempt):
            self.assertEqual([], driver.effects_of(AnswerError))
            driver.advance(10)
        self.assertEqual("/urgent/1", driver.last_attempt().call.path)


if __name__ == "__main__":
    unittest.main()
