"""Learned estimates, rate limits and sums of waiting work."""

import unittest
from dataclasses import replace

from figshunt.policy import ServiceEstimates, TeamRateLimiter, WaitingWork
from figshunt.policy._decayed_histogram import DecayedHistogram
from figshunt.policy._service_estimates import (
    DEFAULT_RUN_MS,
    FRESH_MS,
    LEAST_VALUES,
    MOST_TEAM_RECORDS,
)
from figshunt.types import (
    AttemptEnded,
    AttemptFailure,
    AttemptId,
    Moment,
    RoutedRequest,
    RunnerId,
    TeamName,
)
from tests.builders import build_routed
from tests.policy.fakes import FixedRuns, FixedWeights

START = Moment(100_000, 1_800_000_000_000)


def build_ended(
    routed: RoutedRequest,
    run_ms: int,
    tokens: int = 100,
    failure: AttemptFailure | None = None,
) -> AttemptEnded:
    started_ms = START.monotonic_ms - run_ms
    attempt = (AttemptId("1.1"), RunnerId("engines-1"), routed, started_ms, tokens)
    return AttemptEnded(*attempt, failure, first_token_ms=40)


class EstimatesTest(unittest.TestCase):
    def test_histogram_follows_recent_values(self) -> None:
        histogram = DecayedHistogram()
        self.assertIsNone(histogram.quantile(0.5))
        for value, count in ((100, 2_000), (900, 60)):
            for _ in range(count):
                histogram.add(value)
            median = histogram.quantile(0.5)
            assert median is not None
            self.assertLess(abs(median - value) / value, 0.2)

    def test_falls_back_from_team_to_class_to_default(self) -> None:
        estimates = ServiceEstimates()
        known = build_routed(START, team="known")
        other = build_routed(START, team="other")
        self.assertEqual(estimates.run_ms(known, START), DEFAULT_RUN_MS)
        for _ in range(LEAST_VALUES):
            estimates.learn(build_ended(known, 4_096), START)
            estimates.learn(build_ended(other, 512), START)
        stranger = build_routed(START, team="stranger")
        self.assertEqual(estimates.run_ms(known, START), 4_096)
        self.assertEqual(estimates.run_ms(other, START), 512)
        self.assertIn(estimates.run_ms(stranger, START), (512, 4_096))
        self.assertAlmostEqual(estimates.first_token_ms(known, START), 40, delta=8)

    def test_default_never_exceeds_a_short_run_limit(self) -> None:
        """Guards against a default that refuses a class before it ever ran."""
        routed = build_routed(START, deadline_ms=200)
        self.assertLessEqual(ServiceEstimates().run_ms(routed, START), 100)

    def test_suspended_attempts_do_not_shorten_the_estimate(self) -> None:
        """Guards against learning the length of a part as that of the whole."""
        estimates = ServiceEstimates()
        routed = build_routed(START)
        for _ in range(LEAST_VALUES):
            part = build_ended(routed, 100, 10, AttemptFailure.PREEMPTED)
            estimates.learn(part, START)
            resumed = replace(routed, resume_offset=90)
            estimates.learn(build_ended(resumed, 102, tokens=10), START)
        self.assertAlmostEqual(estimates.run_ms(routed, START), 1_024, delta=10)
        self.assertLess(estimates.run_ms(resumed, START), 250)

    def test_stale_estimates_are_not_fresh(self) -> None:
        """Guards against refusing for ever what was slow once."""
        estimates = ServiceEstimates()
        routed = build_routed(START)
        for _ in range(LEAST_VALUES):
            self.assertFalse(estimates.is_fresh(routed, START))
            estimates.learn(build_ended(routed, 4_096), START)
        self.assertTrue(estimates.is_fresh(routed, START.plus(FRESH_MS)))
        self.assertFalse(estimates.is_fresh(routed, START.plus(FRESH_MS + 1)))

    def test_records_are_bounded(self) -> None:
        estimates = ServiceEstimates()
        routed = build_routed(START)
        for number in range(MOST_TEAM_RECORDS + 50):
            one = replace(routed, team=TeamName(f"team-{number}"))
            estimates.learn(build_ended(one, 100), START)
        self.assertEqual(len(estimates._teams), MOST_TEAM_RECORDS)


class RateLimiterTest(unittest.TestCase):
    def test_bucket_holds_a_minute_and_refills(self) -> None:
        limiter = TeamRateLimiter()
        team = TeamName("team-a")
        taken = [limiter.take(team, 6, START) for _ in range(7)]
        self.assertEqual(taken, [None] * 6 + [10_000])
        self.assertEqual(limiter.take(team, 6, START.plus(4_000)), 6_000)
        self.assertIsNone(limiter.take(team, 6, START.plus(10_000)))

    def test_buckets_are_bounded(self) -> None:
        limiter = TeamRateLimiter(most_buckets=10)
        for number in range(100):
            limiter.take(TeamName(f"team-{number}"), 6, START)
        self.assertEqual(len(limiter._buckets), 10)


class WaitingWorkTest(unittest.TestCase):
    def test_work_ahead_by_tier_and_team(self) -> None:
        """Guards against refusing a small team for the backlog of a large one."""
        work = WaitingWork(FixedWeights(), FixedRuns(1_000))
        number = 0
        for count, tier, team in ((5, 1, "a"), (100, 2, "large"), (2, 2, "b")):
            for _ in range(count):
                number += 1
                work.add(build_routed(START, number, team, tier=tier), START)
        cases = (
            (1, "small", 1_000),
            (1, "a", 5_000),
            (2, "small", 5_000 + 2_000),
            (2, "b", 5_000 + 2_000 + 3_000),
            (2, "large", 5_000 + 102_000),
            (3, "small", 107_000),
        )
        for tier, team, expected_ms in cases:
            with self.subTest(tier=tier, team=team):
                routed = build_routed(START, 999, team, tier=tier)
                self.assertEqual(work.ahead_ms(routed), expected_ms)
        for discarded in range(1, number + 1):
            work.discard(build_routed(START, discarded).request_id)
        self.assertEqual((len(work), work.highest_tier()), (0, None))
