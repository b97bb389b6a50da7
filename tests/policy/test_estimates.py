"""Tests of learned estimates, team rate limits and sums of waiting work."""

import unittest
from dataclasses import replace

from figshunt.policy import ServiceEstimates, TeamRateLimiter, WaitingWork
from figshunt.policy._decayed_histogram import DecayedHistogram
from figshunt.policy._service_estimates import (
    DEFAULT_RUN_MS,
    MAX_ESTIMATE_AGE_MS,
    MAX_TEAM_RECORDS,
    MIN_SAMPLES,
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
from tests.builders import build_routed_request
from tests.policy.fakes import FixedRunEstimates, FixedWeights

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
    def test_histogram_median_follows_recent_values(self) -> None:
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
        known = build_routed_request(START, team="known")
        other = build_routed_request(START, team="other")
        self.assertEqual(estimates.run_ms(known, START), DEFAULT_RUN_MS)
        for _ in range(MIN_SAMPLES):
            estimates.record_attempt(build_ended(known, 4_096), START)
            estimates.record_attempt(build_ended(other, 512), START)
        stranger = build_routed_request(START, team="stranger")
        self.assertEqual(estimates.run_ms(known, START), 4_096)
        self.assertEqual(estimates.run_ms(other, START), 512)
        self.assertIn(estimates.run_ms(stranger, START), (512, 4_096))
        self.assertAlmostEqual(estimates.first_token_ms(known, START), 40, delta=8)

    def test_default_run_time_respects_a_short_run_limit(self) -> None:
        """Guards against a default that exceeds the longest run of a class.

        Until samples exist, expected waits and latest start times are computed from
        the default.
        """
        routed = build_routed_request(START, deadline_ms=200)
        self.assertLessEqual(ServiceEstimates().run_ms(routed, START), 100)

    def test_preempted_attempts_do_not_shorten_the_estimate(self) -> None:
        """Guards against recording part of an answer as a complete answer.

        A request that is preempted and resumed ends with an attempt that
        generates only the rest of its output.
        """
        estimates = ServiceEstimates()
        routed = build_routed_request(START)
        for _ in range(MIN_SAMPLES):
            preempted_end = build_ended(routed, 100, 10, AttemptFailure.PREEMPTED)
            estimates.record_attempt(preempted_end, START)
            resumed_request = replace(routed, resume_offset=90)
            estimates.record_attempt(
                build_ended(resumed_request, 102, tokens=10), START
            )
        self.assertAlmostEqual(estimates.run_ms(routed, START), 1_024, delta=10)
        self.assertLess(estimates.run_ms(resumed_request, START), 250)

    def test_old_estimates_have_no_recent_samples(self) -> None:
        """Guards against refusing a class forever after it was slow once.

        While all its requests are refused, its estimate can't improve.
        """
        estimates = ServiceEstimates()
        routed = build_routed_request(START)
        for _ in range(MIN_SAMPLES):
            self.assertFalse(estimates.has_recent_samples(routed, START))
            estimates.record_attempt(build_ended(routed, 4_096), START)
        self.assertTrue(
            estimates.has_recent_samples(routed, START.plus(MAX_ESTIMATE_AGE_MS))
        )
        self.assertFalse(
            estimates.has_recent_samples(routed, START.plus(MAX_ESTIMATE_AGE_MS + 1))
        )

    def test_records_are_bounded(self) -> None:
        """Guards against memory that grows with the number of teams."""
        estimates = ServiceEstimates()
        routed = build_routed_request(START)
        for number in range(MAX_TEAM_RECORDS + 50):
            team_request = replace(routed, team=TeamName(f"team-{number}"))
            estimates.record_attempt(build_ended(team_request, 100), START)
        self.assertEqual(len(estimates._team_records), MAX_TEAM_RECORDS)


class RateLimiterTest(unittest.TestCase):
    def test_bucket_holds_a_minute_and_refills(self) -> None:
        limiter = TeamRateLimiter()
        team = TeamName("team-a")
        delays_ms = [limiter.acquire(team, 6, START) for _ in range(7)]
        self.assertEqual(delays_ms, [None] * 6 + [10_000])
        self.assertEqual(limiter.acquire(team, 6, START.plus(4_000)), 6_000)
        self.assertIsNone(limiter.acquire(team, 6, START.plus(10_000)))

    def test_buckets_are_bounded(self) -> None:
        """Guards against memory that grows with the number of teams."""
        limiter = TeamRateLimiter(max_buckets=10)
        for number in range(100):
            limiter.acquire(TeamName(f"team-{number}"), 6, START)
        self.assertEqual(len(limiter._buckets), 10)


class WaitingWorkTest(unittest.TestCase):
    def test_work_ahead_by_tier_and_team(self) -> None:
        """Guards against refusing a small team because of a large team's backlog."""
        work = WaitingWork(FixedWeights(), FixedRunEstimates(1_000))
        number = 0
        for count, tier, team in ((5, 1, "a"), (100, 2, "large"), (2, 2, "b")):
            for _ in range(count):
                number += 1
                work.add(build_routed_request(START, number, team, tier=tier), START)
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
                routed = build_routed_request(START, 999, team, tier=tier)
                self.assertEqual(work.ahead_ms(routed), expected_ms)
        for discarded_number in range(1, number + 1):
            work.discard(build_routed_request(START, discarded_number).request_id)
        self.assertEqual((len(work), work.highest_tier()), (0, None))
