"""Early refusals and their outcomes."""

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
from tests.builders import build_routed, build_tables, build_team

START = Moment(100_000, 1_800_000_000_000)


class Queues:
    """A queue view with set answers; also the tables and the seats views."""

    seats = tuple(SeatNumber(seat) for seat in range(5))

    def __init__(self, room: bool = True, yields: bool = False, wait: int = 0) -> None:
        self.room = room
        self.yields = yields
        self.wait_ms = wait
        self.heard = 1

    def has_room(self, routed: RoutedRequest, now: Moment) -> bool:
        return self.room

    def would_yield(self, routed: RoutedRequest, now: Moment) -> bool:
        return self.yields

    def expected_wait_ms(self, routed: RoutedRequest, now: Moment) -> int:
        return self.wait_ms

    def retry_after_ms(self, routed: RoutedRequest, now: Moment) -> int:
        return 7_000

    def is_heard(self, seat: SeatNumber, now: Moment) -> bool:
        return seat < self.heard

    def current(self) -> Tables:
        return build_tables(teams=[build_team(requests_per_minute=10)])


class AdmissionFilterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queues = Queues()
        self.estimates = ServiceEstimates()
        self.admission = AdmissionFilter(
            TableTeams(self.queues), self.queues, self.queues, self.estimates
        )

    def learn(self, run_ms: int) -> None:
        for _ in range(5):
            routed = build_routed(START, team="team-b")
            names = (AttemptId("1"), RunnerId("engines-1"), routed)
            ended = AttemptEnded(*names, START.monotonic_ms - run_ms, 10, None)
            self.estimates.learn(ended, START)

    def outcome(self, team: str = "team-b", after_ms: int = 0) -> tuple[Any, ...]:
        routed = build_routed(START, team=team)
        now = START.plus(after_ms)
        outputs = list(self.admission.process(RequestRouted(routed), now))
        if outputs == [RequestAdmitted(routed)]:
            return (None, None)
        (failure,) = [one for one in outputs if isinstance(one, FailAnswer)]
        self.assertEqual(failure.outcome, RunOutcome.NOT_RUN)
        ended = RequestEnded(routed, RunOutcome.NOT_RUN, failure.code)
        self.assertEqual(outputs.count(Feedback(ended)), 1)
        return (failure.code, failure.retry_after_ms)

    def test_early_refusals(self) -> None:
        """Guards against late refusals, and against early ones without reason.

        The deadline is 20 s, the learned run time about 1 s.
        """
        unreachable = (ErrorCode.DEADLINE_UNREACHABLE, 7_000)
        admitted = (None, None)
        cases: tuple[tuple[str, Queues, int, int, Any], ...] = (
            ("idle", Queues(), 1_024, 0, admitted),
            ("in time", Queues(wait=18_900), 1_024, 0, admitted),
            ("too late", Queues(wait=19_100), 1_024, 0, unreachable),
            ("long run", Queues(), 30_000, 0, unreachable),
            ("lower tier yields", Queues(wait=19_100, yields=True), 1_024, 0, admitted),
            ("nothing learned", Queues(wait=19_100), 0, 0, admitted),
            ("stale estimate", Queues(wait=99_000), 1_024, 10_001, admitted),
            ("full", Queues(room=False), 0, 0, (ErrorCode.QUEUE_FULL, 7_000)),
        )
        for name, queues, run_ms, after_ms, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.admission._queues = queues
                if run_ms:
                    self.learn(run_ms)
                self.assertEqual(self.outcome(after_ms=after_ms), expected)

    def test_team_rate(self) -> None:
        """Guards against a team over its rate, which all heard hosts share."""
        for heard, per_host in ((1, 10), (5, 2)):
            with self.subTest(heard=heard):
                self.setUp()
                self.queues.heard = heard
                codes = [self.outcome("team-a")[0] for _ in range(per_host + 1)]
                self.assertEqual(codes, [None] * per_host + [ErrorCode.RATE_LIMITED])
                self.assertEqual(self.outcome("team-a")[1], 60_000 // per_host)
                self.assertEqual(self.outcome("team-b"), (None, None))
                next_ms = 60_000 // per_host
                self.assertEqual(self.outcome("team-a", next_ms), (None, None))

    def test_refused_requests_use_none_of_the_rate(self) -> None:
        self.queues.room = False
        for _ in range(20):
            self.assertEqual(self.outcome("team-a")[0], ErrorCode.QUEUE_FULL)
        self.queues.room = True
        self.assertEqual(self.outcome("team-a"), (None, None))
