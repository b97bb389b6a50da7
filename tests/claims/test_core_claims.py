"""Claims inside of the whole chain of a daemon that is alone in its cell."""

import random
import unittest

from benchmarks.claim_cell import build_key
from figshunt.core import Core
from figshunt.request import refuse
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFinished,
    Effect,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    Fingerprint,
    HostName,
    ManualClock,
    Message,
    RequestArrived,
    RequestId,
    RequestKey,
    RoutedRequest,
    RunOutcome,
    SeatNumber,
    SendAnswer,
    StartAttempt,
    Step,
    TeamName,
)
from tests.builders import (
    build_arrival,
    build_load,
    build_pool,
    build_request,
    build_route,
    build_tables,
    build_tables_offered,
)

SEAT = SeatNumber(0)
ROUTES = [build_route("booking", pool="registry", idempotent=False), build_route()]
POOLS = [build_pool("registry", kind="plain"), build_pool()]


class CoreClaimsTest(unittest.TestCase):
    """Arrivals with and without keys."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.core = Core(HostName("host-0"), SEAT, (SEAT,), random.Random(1))
        self.feed(build_tables_offered(routes=ROUTES, pools=POOLS))
        self.clock.advance(3_000)
        self.feed(build_load("registry-1"))

    def feed(self, message: Message) -> list[Effect]:
        return self.core.handle(message, self.clock.now())

    def repeat(self, number: int, key: RequestKey) -> RequestArrived:
        return build_arrival(
            self.clock.now(),
            number,
            key=key,
            route="booking",
            fingerprint=Fingerprint("fingerprint-1"),
        )

    def arrive(self, number: int, key: RequestKey, **changes: str) -> Effect:
        arrival = build_arrival(
            self.clock.now(), number, key=key, **({"route": "booking"} | changes)
        )
        effects = self.feed(arrival)
        kinds = (StartAttempt, FailAnswer)
        return next(one for one in effects if isinstance(one, kinds))

    def test_fresh_key_runs_once(self) -> None:
        key = build_key(self.clock.now().wall_ms, 1)
        start = self.arrive(1, key)
        assert isinstance(start, StartAttempt)
        waiting = self.feed(self.repeat(2, key))
        self.assertFalse([one for one in waiting if isinstance(one, StartAttempt)])
        self.feed(AnswerHead(start.attempt_id, 200, "application/json"))
        self.feed(AttemptChunk(start.attempt_id, b"booked", 0, 0))
        effects = self.feed(AttemptFinished(start.attempt_id, 0))
        effects += self.feed(self.repeat(3, key))
        request_ids = [RequestId(f"request-{number}") for number in (1, 2, 3)]
        ends = [one for one in effects if isinstance(one, EndAnswer)]
        self.assertEqual(ends, [EndAnswer(one) for one in request_ids])
        sent = [one for one in effects if isinstance(one, SendAnswer)]
        self.assertEqual(sent, [SendAnswer(one, b"booked") for one in request_ids[1:]])

    def test_key_issued_before_the_daemon_started_does_not_run(self) -> None:
        """Guards against a second run after the only daemon restarted."""
        failure = self.arrive(1, build_key(self.clock.now().wall_ms - 3_001, 1))
        assert isinstance(failure, FailAnswer)
        self.assertEqual(failure.code, ErrorCode.CLAIM_UNAVAILABLE)
        self.assertEqual(failure.outcome, RunOutcome.MAY_HAVE_RUN)

    def test_idempotent_routes_need_no_claim(self) -> None:
        self.feed(build_load())
        start = self.arrive(1, RequestKey("any text"), route="chat")
        self.assertIsInstance(start, StartAttempt)

    def test_refusal_before_the_claim_is_not_called_not_run(self) -> None:
        """Guards against "not run" for a key that ran at another host."""
        key = build_key(self.clock.now().wall_ms, 1)
        unknown = self.arrive(1, key, caller_key="nobody")
        assert isinstance(unknown, FailAnswer)
        self.assertEqual(unknown.outcome, RunOutcome.MAY_HAVE_RUN)
        routes = build_tables(routes=ROUTES, pools=POOLS).routes_by_name
        for route, step, outcome in (
            ("booking", Step.ADMISSION, RunOutcome.MAY_HAVE_RUN),
            ("booking", Step.QUARANTINE, RunOutcome.MAY_HAVE_RUN),
            ("booking", Step.SCHEDULE, RunOutcome.NOT_RUN),
            ("chat", Step.ADMISSION, RunOutcome.NOT_RUN),
        ):
            request = build_request(self.clock.now(), route=route, key=key)
            (found,) = (one for name, one in routes.items() if name == route)
            routed = RoutedRequest(request, TeamName("team-a"), found, 0)
            failure, _ = refuse(routed, ErrorCode.QUEUE_FULL, step, "full")
            assert isinstance(failure, FailAnswer)
            with self.subTest(route=route, step=step):
                self.assertEqual(failure.outcome, outcome)
