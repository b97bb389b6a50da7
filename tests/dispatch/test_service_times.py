"""How fast runners are, as hosts measure it, and what they do about it."""

import unittest
from collections.abc import Callable
from math import exp

from benchmarks.virtual_hosts import CallShape, VirtualHosts
from benchmarks.virtual_plain_fleet import (
    SLOTS,
    START_MS,
    PlainFleet,
    PlainRunner,
    build_loaded_head,
    build_silent_head,
    slow_in_windows,
)
from figshunt.dispatch import (
    BroadcastStatus,
    ReplyComplete,
    ReplyHead,
    RunnerLoad,
    SpeedNotice,
)
from figshunt.dispatch.fleet._service_times import ServiceTimes
from figshunt.types import HostName, RouteName, RunnerId
from tests.builders import (
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

HOSTS = 30
RUNNERS = 4
ROUTE = RouteName("book")


def build_false_head(runner: PlainRunner, now_ms: int) -> ReplyHead:
    """Return the head of an answer of a runner that claims to be idle and fast."""
    return build_reply_head(load=RunnerLoad(0, 0, SLOTS, 10))


def replay(
    slowness: Callable[[int], float],
    calls_per_s: float,
    build_head: Callable[[PlainRunner, int], ReplyHead],
    loss: float = 0.0,
    earlier_ms: int = 1_500,
) -> tuple[float, float]:
    """Replay a load before runners of which the first one differs.

    :param build_head: returns the heads of the answers of the first runner.
    :param earlier_ms: the duration of a first part that doesn't count.
    :returns: the share of calls in time, and of answers by the first runner.
    """
    other_head = (
        build_silent_head if build_head is build_silent_head else build_loaded_head
    )
    runners = [
        PlainRunner(RunnerId(f"b{number}"), lambda now_ms: 1.0, other_head)
        for number in range(RUNNERS)
    ]
    runners[0].slowness, runners[0].build_head = slowness, build_head
    fleet = PlainFleet(HOSTS, runners, loss)
    fleet.run(earlier_ms, calls_per_s)
    for runner in runners:
        runner.served = 0
    fleet.run(3_500, calls_per_s)
    served = sum(runner.served for runner in runners)
    return fleet.timely_share(3_500), runners[0].served / served


class SlowRunnerTest(unittest.TestCase):
    """Guards against calls that are late at a slow runner while others have room."""

    def test_runner_that_is_slow_for_good_gets_less_but_not_nothing(self) -> None:
        for build_head in (build_silent_head, build_loaded_head):
            with self.subTest(build_head.__name__):
                timely, share = replay(lambda now_ms: 2.5, 170, build_head)
                self.assertLess(0.95, timely)
                self.assertLess(0.01, share)

    def test_runner_that_is_slow_for_moments_is_avoided_in_them(self) -> None:
        timely, share = replay(slow_in_windows, 210, build_loaded_head)
        self.assertLess(0.98, timely)
        self.assertLess(0.1, share)

    def test_runner_that_has_recovered_gets_its_share_again(self) -> None:
        def is_slow_at_first(now_ms: int) -> float:
            return 2.5 if now_ms < START_MS + 2_000 else 1.0

        _, share = replay(is_slow_at_first, 170, build_silent_head, earlier_ms=12_000)
        self.assertLess(0.15, share)


class UnevenEnginesTest(unittest.TestCase):
    """Guards against engines of different machines that look alike to hosts."""

    def test_lasting_speeds_of_engines_are_found_by_few_answers_of_each_host(
        self,
    ) -> None:
        route = build_published_route("letter", target_ms=2_000, gap_target_ms=800)
        shape = CallShape(route, 9_190, 6_300, 52, 6_000)
        runners = [build_published_runner(f"e{number}") for number in range(12)]
        fleet = VirtualHosts(12, runners, build_configuration(route))
        for number, engine in enumerate(fleet.engines_by_id.values()):
            engine.slowness = (0.6, 1.6)[number % 2]
        fleet.schedule_calls(shape, 40, 0, 6_000)
        fleet.run(6_000)
        fast: list[float] = []
        slow: list[float] = []
        for number, runner_id in enumerate(fleet.engines_by_id):
            (fast, slow)[number % 2].append(fleet.find_slowness(0, runner_id))
        self.assertLess(1.5 * sum(fast), sum(slow))


class FailureTest(unittest.TestCase):
    """Guards against false, stale or lost evidence that attracts work."""

    def setUp(self) -> None:
        self.times = ServiceTimes()
        self.other_times = ServiceTimes(self.times.reference)
        self.now_ms = 100_000

    def answer(self, duration_ms: int, other_ms: int, count: int = 20) -> None:
        """Observe answers of the runner and of another one of its pool."""
        for _ in range(count):
            self.now_ms += 100
            for times, time_ms in (
                (self.times, duration_ms),
                (self.other_times, other_ms),
            ):
                times.observe_duration(ROUTE, time_ms, 0, SLOTS, self.now_ms)

    def test_runner_that_claims_to_be_idle_and_fast_gets_no_more(self) -> None:
        timely, share = replay(lambda now_ms: 2.5, 170, build_false_head)
        self.assertLess(0.95, timely)
        self.assertGreater(1 / RUNNERS, share)

    def test_runner_that_claims_a_long_queue_does_not_seem_fast(self) -> None:
        driver = CoreDriver(
            build_published_runner("b1", "bookings", slots=SLOTS),
            configuration=build_configuration(build_run_once_route()),
        )
        for number in range(30):
            driver.call(build_call(f"r{number}", "/book/1"))
            driver.advance(100)
            load = RunnerLoad(0, 120, SLOTS) if number >= 10 else None
            attempt_id = driver.last_attempt().attempt_id
            driver.handle(ReplyComplete(attempt_id, build_reply_head(load=load), b""))
        driver.advance(2_000)
        notices = [
            notice
            for status in driver.effects_of(BroadcastStatus)
            for notice in status.speeds
        ]
        self.assertEqual([], [one for one in notices if one.lasting < 0.9])

    def test_runner_listed_before_its_pool_is_compared_with_the_others(self) -> None:
        route = build_run_once_route()
        driver = CoreDriver(configuration=build_configuration(route, pools_by_name={}))
        driver.list_runner(build_published_runner("b1", "bookings", slots=SLOTS))
        driver.publish(build_configuration(route))
        driver.list_runner(build_published_runner("b2", "bookings", slots=SLOTS))
        for number in range(60):
            driver.call(build_call(f"r{number}", "/book/1"))
            attempt = driver.last_attempt()
            driver.advance(300 if attempt.runner_id == "b1" else 100)
            driver.handle(ReplyComplete(attempt.attempt_id, build_reply_head(), b""))
        driver.advance(2_000)
        slow_ids = {
            notice.runner_id
            for status in driver.effects_of(BroadcastStatus)
            for notice in status.speeds
            if notice.lasting > 1.2
        }
        self.assertEqual({"b1"}, slow_ids)

    def test_slow_runner_is_found_though_most_notices_are_lost(self) -> None:
        timely, _ = replay(lambda now_ms: 2.5, 170, build_silent_head, loss=0.9)
        self.assertLess(0.9, timely)

    def test_absurd_header_changes_the_slowness_within_bounds(self) -> None:
        for slowdown in (0, 9, 10_001, 999_999):
            self.times.record_load(RunnerLoad(1, 0, SLOTS, slowdown), self.now_ms)
            self.assertEqual(1.0, self.times.slowness(self.now_ms))
        self.times.record_load(RunnerLoad(999_999, 0, SLOTS, 10_000), self.now_ms)
        self.assertGreaterEqual(4.0, self.times.slowness(self.now_ms))
        claimed_requests = self.times.claimed_requests(SLOTS, self.now_ms)
        self.assertGreaterEqual(20 * SLOTS, claimed_requests)

    def test_header_counts_for_less_than_a_second(self) -> None:
        self.times.record_load(RunnerLoad(6, 6, SLOTS, 250), self.now_ms)
        self.assertLess(1.8, self.times.slowness(self.now_ms))
        self.assertAlmostEqual(1.0, self.times.slowness(self.now_ms + 1_500), 1)
        self.assertGreater(1.0, self.times.claimed_requests(SLOTS, self.now_ms + 1_500))

    def test_lasting_speed_outlives_a_time_without_traffic(self) -> None:
        self.answer(200, 100)
        lasting = self.times.lasting
        self.assertLess(1.5, exp(lasting - self.other_times.lasting))
        self.assertAlmostEqual(exp(lasting), self.times.slowness(self.now_ms + 60_000))

    def test_restarted_runner_starts_afresh(self) -> None:
        self.answer(200, 100)
        self.times.reset()
        self.assertEqual(1.0, self.times.slowness(self.now_ms))

    def test_told_speed_replaces_the_earlier_one_and_expires(self) -> None:
        for host in ("h2", "h3"):
            for lasting in (9.0, 2.0):
                notice = SpeedNotice(RunnerId("b1"), 1, lasting, 4.0, 1.0, 0.0)
                self.times.record_notice(HostName(host), notice, self.now_ms)
        self.assertAlmostEqual(2 ** (8 / 12), exp(self.times.lasting))
        self.times.expire(self.now_ms + 200_000)
        self.assertEqual(0.0, self.times.lasting)

    def test_notices_are_few(self) -> None:
        notices = []
        for _ in range(20):
            self.answer(200, 100, count=2)
            notices.append(self.times.take_notice(RunnerId("b1"), 1, self.now_ms))
        sent_notices = [notice for notice in notices if notice is not None]
        self.assertLess(0, len(sent_notices))
        self.assertGreaterEqual(4, len(sent_notices))

    def test_limit_falls_where_requests_slow_each_other_down(self) -> None:
        for number in range(200):
            ahead = number % SLOTS
            self.times.observe_duration(
                ROUTE, 50 * (1 + ahead), ahead, SLOTS, self.now_ms
            )
            self.other_times.observe_duration(ROUTE, 100, ahead, SLOTS, self.now_ms)
        self.assertGreater(SLOTS - 1, self.times.limit.value(SLOTS))
        self.assertEqual(SLOTS, self.other_times.limit.value(SLOTS))


if __name__ == "__main__":
    unittest.main()
