"""How fast runners are, as hosts measure it, and what they do about it."""

import unittest
from collections.abc import Callable
from math import exp

from figshunt.dispatch import ReplyHead, RunnerLoad, SpeedNotice
from figshunt.dispatch.fleet._service_times import ServiceTimes
from figshunt.types import HostName, RouteName, RunnerId
from tests.builders import build_reply_head
from tests.dispatch.plain_fleet import PlainFleet, PlainRunner

HOSTS = 30
RUNNERS = 4
SLOTS = 6
ROUTE = RouteName("book")


def slow_in_windows(now_ms: int) -> float:
    """Return the slowness of a machine that is slow in every other 600 ms."""
    return 2.5 if now_ms // 600 % 2 else 1.0


def build_loaded_head(runner: PlainRunner, now_ms: int) -> ReplyHead:
    """Return the head of an answer with the runner's true load."""
    slowdown = round(100 * runner.slowness(now_ms))
    load = RunnerLoad(runner.running, len(runner.waiting), runner.slots, slowdown)
    return build_reply_head(load=load)


def build_false_head(runner: PlainRunner, now_ms: int) -> ReplyHead:
    """Return the head of an answer of a runner that claims to be idle and fast."""
    return build_reply_head(load=RunnerLoad(0, 0, runner.slots, 10))


def build_silent_head(runner: PlainRunner, now_ms: int) -> ReplyHead:
    """Return the head of an answer without a load."""
    return build_reply_head()


def replay(
    slowness: Callable[[int], float],
    calls_per_s: float,
    build_head: Callable[[PlainRunner, int], ReplyHead],
    loss: float = 0.0,
    earlier_ms: int = 0,
) -> tuple[float, float]:
    """Replay a load before runners of which the first one differs.

    :param build_head: returns the heads of the answers of the first runner.
    :param earlier_ms: the duration of a first part, whose answers don't count.
    :returns: the share of calls in time, and of answers by the first runner.
    """
    runners = [
        PlainRunner(
            RunnerId(f"b{number}"),
            SLOTS,
            (lambda now_ms: 1.0) if number else slowness,
            (
                build_loaded_head
                if number and build_head != build_silent_head
                else build_head
            ),
        )
        for number in range(RUNNERS)
    ]
    fleet = PlainFleet(HOSTS, runners, loss=loss)
    fleet.run(earlier_ms, calls_per_s)
    for runner in runners:
        runner.served = 0
    fleet.run(5_000, calls_per_s)
    served = sum(runner.served for runner in runners)
    return fleet.timely_share(earlier_ms + 1_500), runners[0].served / served


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
        _, share = replay(
            lambda now_ms: 2.5 if now_ms < 2_000 else 1.0,
            170,
            build_silent_head,
            earlier_ms=12_000,
        )
        self.assertLess(0.15, share)


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

    def test_slow_runner_is_found_though_most_notices_are_lost(self) -> None:
        timely, _ = replay(lambda now_ms: 2.5, 170, build_silent_head, loss=0.9)
        self.assertLess(0.9, timely)

    def test_absurd_header_changes_the_slowness_within_bounds(self) -> None:
        for slowdown in (0, 9, 10_001, 999_999):
            self.times.record_load(RunnerLoad(1, 0, SLOTS, slowdown), self.now_ms)
            self.assertEqual(1.0, self.times.slowness(self.now_ms))
        self.times.record_load(RunnerLoad(999_999, 0, SLOTS, 10_000), self.now_ms)
        self.assertGreaterEqual(4.0, self.times.slowness(self.now_ms))
        self.assertGreaterEqual(20 * SLOTS, self.times.claimed_requests(self.now_ms))

    def test_header_counts_for_less_than_a_second(self) -> None:
        self.times.record_load(RunnerLoad(6, 6, SLOTS, 250), self.now_ms)
        self.assertLess(1.8, self.times.slowness(self.now_ms))
        self.assertAlmostEqual(1.0, self.times.slowness(self.now_ms + 1_500), 1)
        self.assertGreater(1.0, self.times.claimed_requests(self.now_ms + 1_500))

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
