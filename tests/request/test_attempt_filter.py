"""Tests that each caller gets its own complete answer or an explicit error."""

import random
import unittest
from collections import defaultdict
from dataclasses import replace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from benchmarks.claim_cell import build_key
from figshunt.core import Core
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    AttemptId,
    EndAnswer,
    FailAnswer,
    HostName,
    ManualClock,
    Message,
    RunOutcome,
    SeatNumber,
    SendAnswer,
    SendState,
    StartAttempt,
)
from tests.builders import (
    build_load_reported,
    build_pool,
    build_request_arrived,
    build_route,
    build_tables_received,
)

TOKENS = 4
REQUESTS = 3
# A daemon abstains for keys issued up to 2 s after it was established.
CLAIMABLE_MS = 2_500


class AttemptProperty(unittest.TestCase):
    """A core whose runners send late, twice or out of order, and fail at any time."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        seat = SeatNumber(0)
        self.core = Core(HostName("host-0"), seat, (seat,), random.Random(1))
        self.in_flight: list[Any] = []
        self.runs: defaultdict[str, int] = defaultdict(int)
        self.received: defaultdict[str, list[bytes]] = defaultdict(list)
        self.ends: defaultdict[str, list[EndAnswer | FailAnswer]] = defaultdict(list)

    def handle_message(self, message: Message) -> None:
        for effect in self.core.handle(message, self.clock.now()):
            match effect:
                case StartAttempt():
                    self.runs[effect.request.request_id] += 1
                    self.in_flight.extend(self.answer(effect))
                case SendAnswer(request_id, data):
                    self.received[request_id].append(data)
                case EndAnswer(request_id) | FailAnswer(request_id):
                    self.ends[request_id].append(effect)

    def answer(self, start: StartAttempt) -> list[Any]:
        """Return an answer from its resume offset, then a connection failure."""
        attempt_id = start.attempt_id
        owner = start.request.request_id
        chunks = [
            AttemptChunk(attempt_id, f"{owner}/{offset}".encode(), 1, offset)
            for offset in range(start.resume_offset, TOKENS)
        ]
        failure = AttemptFailed(
            attempt_id,
            AttemptFailure.CONNECTION_LOST,
            SendState.MAY_HAVE_ARRIVED,
        )
        head = AnswerHead(attempt_id, 200, "text/event-stream")
        return [head, *chunks, AttemptFinished(attempt_id, TOKENS), failure]

    def start(self, idempotent: bool) -> None:
        self.handle_message(
            build_tables_received(
                routes=[build_route(idempotent=idempotent)],
                pools=[build_pool(runners=2)],
            )
        )
        for runner in ("engines-1", "engines-2"):
            self.handle_message(build_load_reported(runner))

    def check(self) -> None:
        for number in range(REQUESTS):
            owner = f"request-{number}"
            expected = [f"{owner}/{offset}".encode() for offset in range(TOKENS)]
            received = self.received[owner]
            self.assertEqual(received, expected[: len(received)])
            self.assertLessEqual(len(self.ends[owner]), 1)
            for end in self.ends[owner]:
                if isinstance(end, EndAnswer):
                    self.assertEqual(received, expected)
                else:
                    self.assertNotEqual(end.outcome, RunOutcome.NOT_RUN)

    @given(st.lists(st.integers(0, 30), max_size=80), st.booleans())
    def test_any_order_of_delivery(self, picks: list[int], twice: bool) -> None:
        """Guards against mixed, spliced or silently shortened answers.

        The head of an attempt always arrives first, as over one TCP connection;
        all later messages may be lost, duplicated or reordered.
        """
        self.setUp()
        self.start(idempotent=True)
        for number in range(REQUESTS):
            self.handle_message(build_request_arrived(self.clock.now(), number))
        for pick in picks:
            if not self.in_flight:
                break
            message = self.in_flight.pop(pick % len(self.in_flight))
            self.handle_message(message)
            if twice:
                self.handle_message(message)
        self.check()

    def start_broken_stream(self, *chunks: AttemptChunk) -> AttemptId:
        """Start a stream, break it off, and return the id of the next attempt."""
        self.start(idempotent=True)
        self.handle_message(build_request_arrived(self.clock.now(), 0))
        first_attempt_id = self.in_flight[0].attempt_id
        self.handle_message(AnswerHead(first_attempt_id, 200, "text/event-stream"))
        for chunk in chunks:
            self.handle_message(replace(chunk, attempt_id=first_attempt_id))
        self.in_flight.clear()
        self.handle_message(
            AttemptFailed(
                first_attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
            )
        )
        return self.in_flight[0].attempt_id

    def test_error_of_the_next_runner_does_not_enter_a_started_stream(self) -> None:
        """Guards against error text in a stream, and against a false end of it."""
        token = AttemptChunk(AttemptId(""), b"token", 1, 0)
        for name, chunks in {"after an event": (token,), "before": ()}.items():
            for status, content_type in ((500, "text/plain"), (200, "text/plain")):
                with self.subTest(name, status=status):
                    self.setUp()
                    attempt_id = self.start_broken_stream(*chunks)
                    for message in (
                        AnswerHead(attempt_id, status, content_type),
                        AttemptChunk(attempt_id, b"error text", 0, 0),
                        AttemptFinished(attempt_id, 0),
                    ):
                        self.handle_message(message)
                    self.assertEqual(
                        [chunk.data for chunk in chunks], self.received["request-0"]
                    )
                    for end in self.ends["request-0"]:
                        self.assertIsInstance(end, FailAnswer)

    def test_answer_that_is_no_stream_is_not_resumed(self) -> None:
        """Guards against the start of one answer followed by a whole second one."""
        self.start(idempotent=True)
        self.handle_message(build_request_arrived(self.clock.now(), 0))
        attempt_id = self.in_flight[0].attempt_id
        self.handle_message(AnswerHead(attempt_id, 200, "application/json"))
        self.handle_message(AttemptChunk(attempt_id, b'{"text": ', 0, 0))
        self.handle_message(
            AttemptFailed(
                attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
            )
        )
        self.assertEqual(self.runs["request-0"], 1)
        (end,) = self.ends["request-0"]
        self.assertIsInstance(end, FailAnswer)

    def test_non_idempotent_request_starts_once(self) -> None:
        """Guards against a retry of a request that must not run twice."""
        self.start(idempotent=False)
        self.clock.advance(CLAIMABLE_MS)
        key = build_key(self.clock.now().wall_ms, 1)
        self.handle_message(build_request_arrived(self.clock.now(), 0, key=key))
        self.handle_message(self.in_flight[-1])
        self.assertEqual(self.runs["request-0"], 1)
        (end,) = self.ends["request-0"]
        assert isinstance(end, FailAnswer)
        self.assertEqual(end.outcome, RunOutcome.MAY_HAVE_RUN)
