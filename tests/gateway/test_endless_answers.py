"""Answers of runners in trouble that never end."""

import unittest

from figshunt.dispatch import (
    CallAttemptFailed,
    CancelCallAttempt,
    ReplyEvent,
    StartCallAttempt,
)
from figshunt.gateway._answer_buffers import (
    MAX_ANSWER_BYTES,
    MAX_BUFFERED_BYTES,
    AnswerBuffers,
    AnswerTooLargeError,
)
from figshunt.gateway._runner_caller import EVENTS_PER_TURN, RunnerCaller
from figshunt.platform import PlatformCallCodec
from figshunt.standins import EndlessRunner
from figshunt.types import AttemptFailure, AttemptId, CancelReason, RunnerId
from tests.builders import MAX_ENDLESS_BYTES, build_call, build_endless_answers
from tests.gateway.fixture import wait_until
from tests.recording_sink import RecordingMessageSink


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that reads an endless answer until it has no memory."""

    async def asyncSetUp(self) -> None:
        self.sink = RecordingMessageSink()
        self.caller = RunnerCaller(PlatformCallCodec(), self.sink)
        await self.caller.start()
        self.addAsyncCleanup(self.caller.stop)

    async def test_endless_answer_is_cut_off(self) -> None:
        for name, (start, repeated) in build_endless_answers().items():
            with self.subTest(name):
                self.sink.messages.clear()
                runner = EndlessRunner(start, repeated)
                await runner.start()
                self.caller.start_attempt(self.build_attempt(runner, name))
                try:
                    await wait_until(lambda: bool(self.sink.of_type(CallAttemptFailed)))
                    await wait_until(lambda: not runner.open_connections)
                finally:
                    await runner.stop()
                (failure,) = self.sink.of_type(CallAttemptFailed)
                self.assertIs(AttemptFailure.PROTOCOL, failure.failure)
                self.assertLess(runner.sent_bytes, MAX_ENDLESS_BYTES)

    async def test_cancelled_stream_submits_few_events_of_what_was_read(self) -> None:
        """Guards against a host that serves nobody while it splits up short events."""
        start, _ = build_endless_answers()["lines of one event"]
        runner = EndlessRunner(start, b"data: 7\n\n")
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        attempt = self.build_attempt(runner, "events")
        self.sink.on_submit = lambda message: self.caller.cancel_attempt(
            CancelCallAttempt(attempt.attempt_id, CancelReason.PROTOCOL)
        )
        self.caller.start_attempt(attempt)
        await wait_until(lambda: runner.sent_bytes > 0 and not runner.open_connections)
        self.assertLessEqual(len(self.sink.of_type(ReplyEvent)), EVENTS_PER_TURN)

    def build_attempt(self, runner: EndlessRunner, name: str) -> StartCallAttempt:
        return StartCallAttempt(
            attempt_id=AttemptId(name),
            runner_id=RunnerId("e1"),
            address=runner.address,
            call=build_call(headers=(("X-Figshunt-Attempt-Id", "a1"),)),
            team=None,
            time_limit_ms=10_000,
            priority=0,
            resume_after=None,
        )


class AnswerBuffersTest(unittest.TestCase):
    """Guards against many endless answers that together take all memory."""

    def test_small_answers_are_received_beside_endless_ones(self) -> None:
        buffers = AnswerBuffers()
        answers = MAX_BUFFERED_BYTES // MAX_ANSWER_BYTES * 2
        for number in range(answers):
            buffers.grow(AttemptId(f"endless-{number}"), MAX_ANSWER_BYTES // 2)
        buffers.grow(AttemptId("small"), 1_000)
        with self.assertRaises(AnswerTooLargeError):
            buffers.grow(AttemptId("endless-0"), 1_000)
        buffers.release(AttemptId("endless-0"))
        buffers.grow(AttemptId("endless-1"), 1_000)

    def test_single_answer_is_limited(self) -> None:
        buffers = AnswerBuffers()
        buffers.grow(AttemptId("a"), MAX_ANSWER_BYTES)
        with self.assertRaises(AnswerTooLargeError):
            buffers.grow(AttemptId("a"), 1)


if __name__ == "__main__":
    unittest.main()
