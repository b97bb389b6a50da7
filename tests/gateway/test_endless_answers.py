"""Answers of runners in trouble that never end."""

import asyncio
import contextlib
import gc
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from figshunt.dispatch import (
    AnswerEvent,
    CallAttemptFailed,
    CancelCallAttempt,
    ReplyEvent,
    StartCallAttempt,
)
from figshunt.gateway import _runner_caller
from figshunt.gateway._answer_queue import AnswerQueue
from figshunt.gateway._runner_caller import MAX_ANSWER_BYTES, RunnerCaller
from figshunt.platform import PlatformCallCodec
from figshunt.runtime import (
    CONNECTION_BYTES,
    MAX_RECEIVED_BYTES,
    STEPS_PER_SLICE,
    STEPS_PER_TURN,
    BoundedResponse,
    BoundedResponseHandler,
    EventLog,
    ReceiveBudget,
    ServerSentEvent,
    _event_stream,
    iterate_received,
)
from figshunt.standins import EndlessRunner
from figshunt.types import (
    AttemptFailure,
    AttemptId,
    CancelReason,
    RequestId,
    RunnerId,
    SystemClock,
)
from tests.builders import (
    MAX_ENDLESS_BYTES,
    build_call,
    build_endless_answer,
    build_endless_answers,
)
from tests.gateway.fixture import wait_until
from tests.recording_sink import RecordingMessageSink

STREAMS = 25


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that reads an endless answer until it has no memory."""

    async def asyncSetUp(self) -> None:
        self.sink = RecordingMessageSink()
        self.caller = RunnerCaller(
            PlatformCallCodec(), self.sink, EventLog({}), SystemClock()
        )
        await self.caller.start()
        self.addAsyncCleanup(self.caller.stop)

    async def test_endless_answer_is_cut_off(self) -> None:
        for name, (start, repeated) in build_endless_answers().items():
            with self.subTest(name):
                self.sink.messages.clear()
                runner = EndlessRunner(start, repeated)
                await runner.start()
                self.caller.start_attempt(build_attempt(runner, name))
                try:
                    await wait_until(lambda: bool(self.sink.of_type(CallAttemptFailed)))
                    await wait_until(lambda: not runner.open_connections)
                finally:
                    await runner.stop()
                (failure,) = self.sink.of_type(CallAttemptFailed)
                self.assertIs(AttemptFailure.PROTOCOL, failure.failure)
                self.assertLess(runner.sent_bytes, MAX_ENDLESS_BYTES)

    async def test_failed_answer_is_freed_at_once(self) -> None:
        """Guards against cycles that keep what was received until a collection."""
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for name, (start, repeated) in build_endless_answers().items():
            with self.subTest(name):
                runner = EndlessRunner(start, repeated)
                await runner.start()
                failures = len(self.sink.of_type(CallAttemptFailed))
                self.caller.start_attempt(build_attempt(runner, name))
                await wait_until(
                    lambda: len(self.sink.of_type(CallAttemptFailed)) > failures
                )
                await wait_until(lambda: not runner.open_connections)
                await runner.stop()
                await wait_until(lambda: not count_responses())

    async def test_cancelled_stream_submits_few_events_of_what_was_read(self) -> None:
        """Guards against a host that serves nobody while it splits up short events."""
        start, _ = build_endless_answers()["lines of one event"]
        runner = EndlessRunner(start, b"data: 7\n\n")
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        attempt = build_attempt(runner, "events")
        self.sink.on_submit = lambda message: self.caller.cancel_attempt(
            CancelCallAttempt(attempt.attempt_id, CancelReason.PROTOCOL)
        )
        self.caller.start_attempt(attempt)
        await wait_until(lambda: runner.sent_bytes > 0 and not runner.open_connections)
        self.assertLessEqual(len(self.sink.of_type(ReplyEvent)), STEPS_PER_TURN)

    async def test_streams_of_short_events_leave_the_event_loop_to_others(self) -> None:
        """Guards against a host that serves nobody else, however many streams it has.

        Other services need several turns of the event loop for each request.
        """
        start = build_endless_answer("text/event-stream")
        chunked = build_endless_answer("text/event-stream", chunk_start=b"")
        for name, head, repeated in (
            ("events without ids", start, b"data: 7\n\n"),
            ("events of one id", start, b"id: 1\ndata: 7\n\n"),
            ("comments", start, b":\n\n"),
            ("chunks of one byte", chunked, b"1\r\n7\r\n"),
        ):
            with self.subTest(name):
                steps = StepCounter()
                runner = EndlessRunner(head, repeated)
                await runner.start()
                with steps.count():
                    for number in range(STREAMS):
                        attempt = build_attempt(runner, f"{name} {number}")
                        self.caller.start_attempt(attempt)
                    await wait_until(lambda: steps.taken > 0)
                    most_in_a_turn = 0
                    for _ in range(100):
                        before = steps.taken
                        await asyncio.sleep(0)
                        most_in_a_turn = max(most_in_a_turn, steps.taken - before)
                await self.caller.stop()
                await runner.stop()
                self.assertLessEqual(most_in_a_turn, 2 * STEPS_PER_SLICE)


class StepCounter:
    """Counts the events that are parsed and the pieces of streams that are read."""

    def __init__(self) -> None:
        self.taken = 0
        self._parse_event = _event_stream._parse_event

    @contextlib.contextmanager
    def count(self) -> Iterator[None]:
        """Count within this context."""
        with (
            mock.patch.object(_event_stream, "_parse_event", self._parse),
            mock.patch.object(_runner_caller, "iterate_received", self._read),
        ):
            yield

    def _parse(self, raw: bytes) -> ServerSentEvent:
        self.taken += 1
        return self._parse_event(raw)

    def _read(self, *arguments: Any) -> Iterator[bytes]:
        for piece in iterate_received(*arguments):
            self.taken += 1
            yield piece


def build_attempt(runner: EndlessRunner, name: str) -> StartCallAttempt:
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


def count_responses() -> int:
    """Return the number of responses in memory, each with what was received of it."""
    return sum(isinstance(entry, BoundedResponse) for entry in gc.get_objects())


class ReceiveBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against many endless answers that together take all memory."""

    def test_small_answers_are_received_beside_endless_ones(self) -> None:
        budget = ReceiveBudget()
        answers = MAX_RECEIVED_BYTES // MAX_ANSWER_BYTES * 2
        endless = [budget.open_share() for _ in range(answers)]
        for share in endless:
            share.try_grow(MAX_ANSWER_BYTES // 2)
        self.assertTrue(budget.open_share().try_grow(1_000))
        self.assertFalse(endless[0].try_grow(1_000))
        endless[0].release()
        self.assertTrue(endless[1].try_grow(1_000))

    def test_open_connections_lower_the_limit(self) -> None:
        """Guards against a bound that leaves out what each connection takes."""
        budget = ReceiveBudget(MAX_RECEIVED_BYTES, CONNECTION_BYTES)
        shares = [budget.open_share() for _ in range(3)]
        self.assertEqual(MAX_RECEIVED_BYTES - 2 * CONNECTION_BYTES, budget.limit_bytes)
        for share in shares * 2:
            share.close()
        self.assertEqual(MAX_RECEIVED_BYTES, budget.limit_bytes)

    async def test_answers_that_callers_leave_unread_share_a_limit(self) -> None:
        """Guards against many callers whose queues are each within their own limit."""
        part = AnswerEvent(RequestId("r1"), b"x" * 1_000)
        budget = ReceiveBudget(10 * len(part.data))
        unread = [AnswerQueue(budget) for _ in range(2)]
        for queue in unread * 5:
            self.assertTrue(queue.put(part))
        sound = AnswerQueue(budget)
        self.assertTrue(sound.put(part))
        self.assertFalse(unread[0].put(part))
        # What was taken is written once the next effect is asked for.
        await unread[1].get()
        self.assertEqual(12 * len(part.data), budget.held_bytes)
        unread[1].put(part)
        await unread[1].get()
        self.assertEqual(8 * len(part.data), budget.held_bytes)
        for queue in (*unread, sound):
            queue.close()
        self.assertEqual((0, 0), (budget.held_bytes, budget.connections))

    async def test_single_answer_is_limited(self) -> None:
        share = ReceiveBudget(2 * MAX_ANSWER_BYTES).open_share()
        handler = BoundedResponseHandler(asyncio.get_running_loop(), share)
        handler.allow(MAX_ANSWER_BYTES)
        handler.data_received(b"x" * MAX_ANSWER_BYTES)
        self.assertIsNone(handler.exception())
        handler.data_received(b"x")
        self.assertIsNotNone(handler.exception())

    async def test_bytes_are_given_back_once_they_were_passed_on(self) -> None:
        budget = ReceiveBudget()
        share = budget.open_share()
        handler = BoundedResponseHandler(asyncio.get_running_loop(), share)
        for release in (share.release, lambda: handler.allow(1_000)):
            handler.data_received(b"x" * 100)
            self.assertEqual((100, 1), (budget.held_bytes, budget.holders))
            release()
            self.assertEqual((0, 0), (budget.held_bytes, budget.holders))

    async def test_unfinished_event_counts_behind_a_finished_one(self) -> None:
        """Guards against a budget that forgets what is held behind an event."""
        start = build_endless_answer("text/event-stream")
        sink = RecordingMessageSink()
        caller = RunnerCaller(
            PlatformCallCodec(),
            sink,
            EventLog({}),
            SystemClock(),
            budget := ReceiveBudget(),
        )
        await caller.start()
        self.addAsyncCleanup(caller.stop)
        # All of it comes with one read.
        event, rest = b"data: 7\n\n", b"data: " + b"x" * 9_000
        runner = EndlessRunner(start, event + rest, 60.0, 1)
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        caller.start_attempt(build_attempt(runner, "rest"))
        await wait_until(lambda: bool(sink.of_type(ReplyEvent)))
        await wait_until(lambda: budget.held_bytes == len(rest))


if __name__ == "__main__":
    unittest.main()
