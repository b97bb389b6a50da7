"""Tests of admission control: early refusals and their outcomes."""

import unittest
from typing import Any

from figshunt.pipeline import Feedback
from figshunt.policy import ServiceEstimates
from figshunt.request import AdmissionFilter, TableTeams
from figshunt.tables import Tables
from figshunt.types import (
    AttemptEnded,
    AttemptId,
    ErrorCode,
    FailAnswer,
    Moment,
    RequestAdmitted,
    RequestEnded,
    RequestRouted,
    RoutedRequest,
    RunnerId,
    RunOutcome,
    SeatNumber,
)
from tests.builders import build_routed_request, build_tables, build_team

START = Moment(100_000, 1_800_000_000_000)


class FakeQueueView:
    """Queue view with preset results; also serves as tables view and seats view."""

    seats = tuple(SeatNumber(seat) for seat in range(5))

    def __init__(
        self, has_free_place: bool = True, preemptible: bool = False, wait: int = 0
    ) -> None:
        self.has_free_place = has_free_place
        self.preemptible = preemptible
        self.wait_ms = wait
        self.reachable_seats = 1

    def has_room(self, routed: RoutedRequest, now: Moment) -> bool:
        return self.has_free_place

    def can_preempt_for(self, routed: RoutedRequest, now: Moment) -> bool:
        return self.preemptible

    def expected_wait_ms(self, routed: RoutedRequest, now: Moment) -> int:
        return self.wait_ms

    def retry_after_ms(self, routed: RoutedRequest, now: Moment) -> int:
        return 7_000

    def is_reachable(self, seat: SeatNumber, now: Moment) -> bool:
        return seat < self.reachable_seats

    def current(self) -> Tables:
        return build_tables(teams=[build_team(requests_per_minute=10)])


class AdmissionFilterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queues = FakeQueueView()
        self.estimates = ServiceEstimates()
        self.admission = AdmissionFilter(
            TableTeams(self.queues), self.queues, self.queues, self.estimates
        )

    def record_attempts(self, run_ms: int) -> None:
        for _ in range(5):
            routed = build_routed_request(START, team="team-b")
            attempt = (AttemptId("1"), RunnerId("engines-1"), routed)
            ended = AttemptEnded(*attempt, START.monotonic_ms - run_ms, 10, None)
            self.estimates.record_attempt(ended, START)

    def outcome(self, team: str = "team-b", after_ms: int = 0) -> tuple[Any, ...]:
        routed = build_routed_request(START, team=team)
        now = START.plus(after_ms)
        outputs = list(self.admission.process(RequestRouted(routed), now))
        if outputs == [RequestAdmitted(routed)]:
            return (None, None)
        (failure,) = [output for output in outputs if isinstance(output, FailAnswer)]
        self.assertEqual(failure.outcome, RunOutcome.NOT_RUN)
        ended = RequestEnded(routed, RunOutcome.NOT_RUN, failure.code)
        self.assertEqual(outputs.count(Feedback(ended)), 1)
        return (failure.code, failure.retry_after_ms)

    def test_early_refusals(self) -> None:
        """Guards against refusing too late, and against refusing without reason.

        The deadline is 20 s, and the learned run time is about 1 s in most
        cases.
        """
        unreachable = (ErrorCode.DEADLINE_UNREACHABLE, 7_000)
        admitted = (None, None)
        cases: tuple[tuple[str, FakeQueueView, int, int, Any], ...] = (
            ("idle", FakeQueueView(), 1_024, 0, admitted),
            ("in time", FakeQueueView(wait=18_900), 1_024, 0, admitted),
            ("too late", FakeQueueView(wait=19_100), 1_024, 0, unreachable),
            ("long run", FakeQueueView(), 30_000, 0, unreachable),
            (
                "preemptible",
                FakeQueueView(wait=19_100, preemptible=True),
                1_024,
                0,
                admitted,
            ),
            ("nothing learned", FakeQueueView(wait=19_100), 0, 0, admitted),
            ("stale estimate", FakeQueueView(wait=99_000), 1_024, 10_001, admitted),
            (
                "full",
                FakeQueueView(has_free_place=False),
                0,
                0,
                (ErrorCode.QUEUE_FULL, 7_000),
            ),
        )
        for name, queues, run_ms, after_ms, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.admission._queues = queues
                if run_ms:
                    self.record_attempts(run_ms)
                self.assertEqual(self.outcome(after_ms=after_ms), expected)

    def test_team_rate_limit_is_divided_among_hosts(self) -> None:
        """Guards against a team that exceeds its rate by using several hosts.

        Each host enforces an equal part of the rate, by the number of hosts
        that are connected.
        """
        for reachable_seats, per_host in ((1, 10), (5, 2)):
            with self.subTest(reachable_seats=reachable_seats):
                self.setUp()
                self.queues.reachable_seats = reachable_seats
                codes = [self.outcome("team-a")[0] for _ in range(per_host + 1)]
                self.assertEqual(codes, [None] * per_host + [ErrorCode.RATE_LIMITED])
                self.assertEqual(self.outcome("team-a")[1], 60_000 // per_host)
                self.assertEqual(self.outcome("team-b"), (None, None))
                next_ms = 60_000 // per_host
                self.assertEqual(self.outcome("team-a", next_ms), (None, None))

    def test_refused_requests_do_not_count_towards_the_rate_limit(self) -> None:
        self.queues.has_free_place = False
        for _ in range(20):
            self.assertEqual(self.outcome("team-a")[0], ErrorCode.QUEUE_FULL)
        self.queues.has_free_place = True
        self.assertEqual(self.outcome("team-a"), (None, None))
