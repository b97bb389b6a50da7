"""The complete pipeline in virtual time, from the arrival to the answer."""

import random
import unittest

from figshunt.core import Core
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    CancelAttempt,
    EndAnswer,
    ErrorCode,
    FailAnswer,
    HostName,
    ManualClock,
    Message,
    SeatNumber,
    SendAnswer,
    SendState,
    StartAnswer,
    StartAttempt,
    TableServiceRead,
    TimerDue,
)
from tests.builders import (
    build_load_reported,
    build_pool,
    build_request_arrived,
    build_route,
    build_tables_received,
)


class CoreTest(unittest.TestCase):
    """A single daemon without peers."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.core = Core(
            HostName("host-0"), SeatNumber(0), (SeatNumber(0),), random.Random(1)
        )
        self.handle(build_tables_received())
        self.handle(build_load_reported())

    def handle(self, message: Message) -> list[object]:
        return list(self.core.handle(message, self.clock.now()))

    def start_attempt(self, number: int = 1) -> StartAttempt:
        effects = self.handle(build_request_arrived(self.clock.now(), number))
        (start,) = [effect for effect in effects if isinstance(effect, StartAttempt)]
        return start

    def test_complete_answer_reaches_its_caller(self) -> None:
        start = self.start_attempt()
        effects = self.handle(AnswerHead(start.attempt_id, 200, "text/event-stream"))
        effects += self.handle(AttemptChunk(start.attempt_id, b"a", 1, 0))
        effects += self.handle(AttemptFinished(start.attempt_id, 1))
        request_id = start.request.request_id
        answer_types = (StartAnswer, SendAnswer, EndAnswer, FailAnswer)
        self.assertEqual(
            [effect for effect in effects if isinstance(effect, answer_types)],
            [
                StartAnswer(request_id, 200, "text/event-stream"),
                SendAnswer(request_id, b"a"),
                EndAnswer(request_id),
            ],
        )

    def test_stream_resumes_at_its_offset_after_lost_connection(self) -> None:
        """A run that restarts from the beginning would repeat delivered tokens."""
        start = self.start_attempt()
        self.handle(AnswerHead(start.attempt_id, 200, "text/event-stream"))
        self.handle(AttemptChunk(start.attempt_id, b"a", 1, 0))
        failure = AttemptFailed(
            start.attempt_id,
            AttemptFailure.CONNECTION_LOST,
            SendState.MAY_HAVE_ARRIVED,
        )
        effects = self.handle(failure)
        (resumed_attempt,) = [
            effect for effect in effects if isinstance(effect, StartAttempt)
        ]
        self.assertEqual(resumed_attempt.resume_offset, 1)
        late_effects = self.handle(AttemptChunk(start.attempt_id, b"late", 1, 1))
        self.assertFalse(
            [effect for effect in late_effects if isinstance(effect, SendAnswer)]
        )

    def test_no_attempt_after_process_pause_until_tables_are_read(self) -> None:
        """Guards against attempts based on tables that became stale during a pause.

        A data centre may have been evacuated while the process was suspended.
        """
        self.handle(TimerDue())
        self.clock.advance(1_500)
        effects = self.handle(build_load_reported())
        effects += self.handle(build_request_arrived(self.clock.now()))
        self.assertFalse(
            [effect for effect in effects if isinstance(effect, StartAttempt)]
        )
        effects = self.handle(TableServiceRead(False))
        self.assertTrue(
            [effect for effect in effects if isinstance(effect, StartAttempt)]
        )

    def test_unknown_route_is_refused(self) -> None:
        effects = self.handle(build_request_arrived(self.clock.now(), route="nowhere"))
        (failure,) = effects
        assert isinstance(failure, FailAnswer)
        self.assertEqual(failure.code, ErrorCode.UNKNOWN_ROUTE)

    def test_request_on_leaving_runner_is_not_preempted(self) -> None:
        """Preempting it would be useless, since its slot gets no new request."""
        letter = build_route("letter", tier=4)
        chat = build_route("chat", tier=1, latency_target_ms=1)
        pool = build_pool(limit=1, cold_limit=1)
        for leaving in (False, True):
            with self.subTest(leaving=leaving):
                self.setUp()
                self.handle(
                    build_tables_received(2, routes=[letter, chat], pools=[pool])
                )
                self.handle(build_request_arrived(self.clock.now(), 1, route="letter"))
                self.clock.advance(100)
                self.handle(build_load_reported(leaving=leaving))
                effects = self.handle(
                    build_request_arrived(self.clock.now(), 2, route="chat")
                )
                cancels = [
                    effect for effect in effects if isinstance(effect, CancelAttempt)
                ]
                self.assertEqual(len(cancels), 0 if leaving else 1)
