"""Claims in the complete filter chain of a daemon that is alone in its cell."""

import random
import unittest

from benchmarks.claim_cell import build_key
from figshunt.control import Suspicion
from figshunt.core import Core
from figshunt.request import QuarantineFilter, refuse
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
    IdempotencyKey,
    ManualClock,
    Message,
    Moment,
    RequestArrived,
    RequestId,
    RequestRouted,
    RoutedRequest,
    RunOutcome,
    SeatNumber,
    SendAnswer,
    StartAttempt,
    Step,
    TeamName,
)
from tests.builders import (
    build_load_reported,
    build_pool,
    build_request,
    build_request_arrived,
    build_route,
    build_tables,
    build_tables_received,
)

SEAT = SeatNumber(0)
ROUTES = [build_route("booking", pool="registry", idempotent=False), build_route()]
POOLS = [build_pool("registry", kind="plain"), build_pool()]


class QuarantineAllView:
    """Stub of the suspicion view that reports all content as quarantined."""

    def suspicion(self, fingerprint: Fingerprint, now: Moment) -> Suspicion:
        return Suspicion.QUARANTINED

    def may_retry(self, fingerprint: Fingerprint) -> bool:
        return False

    def is_undecided(self, fingerprint: Fingerprint, now: Moment) -> bool:
        return False


class CoreClaimsTest(unittest.TestCase):
    """Guards against claims that have no effect in the complete filter chain."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.core = Core(HostName("host-0"), SEAT, (SEAT,), random.Random(1))
        self.handle_message(build_tables_received(routes=ROUTES, pools=POOLS))
        self.clock.advance(3_000)
        self.handle_message(build_load_reported("registry-1"))

    def handle_message(self, message: Message) -> list[Effect]:
        return self.core.handle(message, self.clock.now())

    def build_repeat(self, number: int, key: IdempotencyKey) -> RequestArrived:
        return build_request_arrived(
            self.clock.now(),
            number,
            key=key,
            route="booking",
            fingerprint=Fingerprint("fingerprint-1"),
        )

    def submit(self, number: int, key: IdempotencyKey, **changes: str) -> Effect:
        arrival = build_request_arrived(
            self.clock.now(), number, key=key, **({"route": "booking"} | changes)
        )
        effects = self.handle_message(arrival)
        effect_types = (StartAttempt, FailAnswer)
        return next(effect for effect in effects if isinstance(effect, effect_types))

    def test_repeated_key_runs_once(self) -> None:
        key = build_key(self.clock.now().wall_ms, 1)
        start = self.submit(1, key)
        assert isinstance(start, StartAttempt)
        repeat_effects = self.handle_message(self.build_repeat(2, key))
        self.assertFalse(
            [effect for effect in repeat_effects if isinstance(effect, StartAttempt)]
        )
        self.handle_message(AnswerHead(start.attempt_id, 200, "application/json"))
        self.handle_message(AttemptChunk(start.attempt_id, b"booked", 0, 0))
        effects = self.handle_message(AttemptFinished(start.attempt_id, 0))
        effects += self.handle_message(self.build_repeat(3, key))
        request_ids = [RequestId(f"request-{number}") for number in (1, 2, 3)]
        end_answers = [effect for effect in effects if isinstance(effect, EndAnswer)]
        self.assertEqual(
            end_answers, [EndAnswer(request_id) for request_id in request_ids]
        )
        sent_answers = [effect for effect in effects if isinstance(effect, SendAnswer)]
        self.assertEqual(
            sent_answers,
            [SendAnswer(request_id, b"booked") for request_id in request_ids[1:]],
        )

    def test_key_issued_before_the_daemon_started_does_not_run(self) -> None:
        """Guards against a second run after a restart of the only daemon."""
        failure = self.submit(1, build_key(self.clock.now().wall_ms - 3_001, 1))
        assert isinstance(failure, FailAnswer)
        self.assertEqual(failure.code, ErrorCode.CLAIM_UNAVAILABLE)
        self.assertEqual(failure.outcome, RunOutcome.MAY_HAVE_RUN)

    def test_idempotent_routes_need_no_claim(self) -> None:
        self.handle_message(build_load_reported())
        start = self.submit(1, IdempotencyKey("any text"), route="chat")
        self.assertIsInstance(start, StartAttempt)

    def test_refusal_before_the_claim_does_not_report_not_run(self) -> None:
        """Guards against "not run" for a key that may have run on another host.

        Refusals by filters ahead of the claim can't know whether the key ran.
        """
        key = build_key(self.clock.now().wall_ms, 1)
        failure = self.submit(1, key, caller_key="nobody")
        assert isinstance(failure, FailAnswer)
        self.assertEqual(failure.outcome, RunOutcome.MAY_HAVE_RUN)
        quarantine_filter = QuarantineFilter(QuarantineAllView())
        routes = build_tables(routes=ROUTES, pools=POOLS).routes_by_name
        for route, step, outcome in (
            ("booking", Step.ADMISSION, RunOutcome.MAY_HAVE_RUN),
            ("booking", Step.QUARANTINE, RunOutcome.MAY_HAVE_RUN),
            ("booking", Step.SCHEDULE, RunOutcome.NOT_RUN),
            ("chat", Step.ADMISSION, RunOutcome.NOT_RUN),
        ):
            request = build_request(self.clock.now(), route=route, key=key)
            (tested_route,) = (
                candidate for name, candidate in routes.items() if name == route
            )
            routed = RoutedRequest(request, TeamName("team-a"), tested_route, 0)
            outputs = quarantine_filter.process(RequestRouted(routed), self.clock.now())
            failure = next(iter(outputs))
            assert isinstance(failure, FailAnswer)
            with self.subTest(route=route, filter="quarantine"):
                is_keyed = not tested_route.idempotent
                self.assertEqual(failure.outcome is RunOutcome.MAY_HAVE_RUN, is_keyed)
            failure, _ = refuse(routed, ErrorCode.QUEUE_FULL, step, "full")
            assert isinstance(failure, FailAnswer)
            with self.subTest(route=route, step=step):
                self.assertEqual(failure.outcome, outcome)
