"""The whole chain in virtual time, from an arrival to a whole answer."""

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
    build_arrival,
    build_load,
    build_pool,
    build_route,
    build_tables_offered,
)


class CoreTest(unittest.TestCase):
    """One daemon without peers."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.core = Core(
            HostName("host-0"), SeatNumber(0), (SeatNumber(0),), random.Random(1)
        )
        self.feed(build_tables_offered())
        self.feed(build_load())

    def feed(self, message: Message) -> list[object]:
        return list(self.core.handle(message, self.clock.now()))

    def start(self, number: int = 1) -> StartAttempt:
        effects = self.feed(build_arrival(self.clock.now(), number))
        (start,) = [one for one in effects if isinstance(one, StartAttempt)]
        return start

    def test_whole_answer_reaches_its_caller(self) -> None:
        start = self.start()
        effects = self.feed(AnswerHead(start.attempt_id, 200, "text/event-stream"))
        effects += self.feed(AttemptChunk(start.attempt_id, b"a", 1, 0))
        effects += self.feed(AttemptFinished(start.attempt_id, 1))
        request_id = start.request.request_id
        answer = (StartAnswer, SendAnswer, EndAnswer, FailAnswer)
        self.assertEqual(
            [one for one in effects if isinstance(one, answer)],
            [
                StartAnswer(request_id, 200, "text/event-stream"),
                SendAnswer(request_id, b"a"),
                EndAnswer(request_id),
            ],
        )

    def test_stream_resumes_at_its_offset_after_a_crash(self) -> None:
        """Guards against a fresh run spliced onto tokens already delivered."""
        start = self.start()
        self.feed(AnswerHead(start.attempt_id, 200, "text/event-stream"))
        self.feed(AttemptChunk(start.attempt_id, b"a", 1, 0))
        failed = AttemptFailed(
            start.attempt_id,
            AttemptFailure.CONNECTION_LOST,
            SendState.MAY_HAVE_ARRIVED,
        )
        effects = self.feed(failed)
        (again,) = [one for one in effects if isinstance(one, StartAttempt)]
        self.assertEqual(again.resume_offset, 1)
        late = self.feed(AttemptChunk(start.attempt_id, b"late", 1, 1))
        self.assertFalse([one for one in late if isinstance(one, SendAnswer)])

    def test_no_new_work_after_a_pause_until_the_tables_are_settled(self) -> None:
        """Guards against work sent by tables from before a data centre left."""
        self.feed(TimerDue())
        self.clock.advance(1_500)
        effects = self.feed(build_load())
        effects += self.feed(build_arrival(self.clock.now()))
        self.assertFalse([one for one in effects if isinstance(one, StartAttempt)])
        effects = self.feed(TableServiceRead(False))
        self.assertTrue([one for one in effects if isinstance(one, StartAttempt)])

    def test_unknown_route_is_refused(self) -> None:
        effects = self.feed(build_arrival(self.clock.now(), route="nowhere"))
        (failure,) = effects
        assert isinstance(failure, FailAnswer)
        self.assertEqual(failure.code, ErrorCode.UNKNOWN_ROUTE)

    def test_work_on_a_leaving_runner_is_not_suspended(self) -> None:
        """Guards against suspending work although its slot stays unused."""
        letter = build_route("letter", tier=4)
        chat = build_route("chat", tier=1, latency_target_ms=1)
        pool = build_pool(limit=1, cold_limit=1)
        for leaving in (False, True):
            with self.subTest(leaving=leaving):
                self.setUp()
                self.feed(build_tables_offered(2, routes=[letter, chat], pools=[pool]))
                self.feed(build_arrival(self.clock.now(), 1, route="letter"))
                self.clock.advance(100)
                self.feed(build_load(leaving=leaving))
                effects = self.feed(build_arrival(self.clock.now(), 2, route="chat"))
                cancels = [one for one in effects if isinstance(one, CancelAttempt)]
                self.assertEqual(len(cancels), 0 if leaving else 1)
