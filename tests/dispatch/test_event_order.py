"""Streams whose events have a lost or wrong id are resumed at the right place."""

import unittest

from figshunt.directory import Repeatability
from figshunt.dispatch import (
    AnswerAbort,
    AnswerEnd,
    AnswerEvent,
    CallAttemptFailed,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
    StartCallAttempt,
)
from figshunt.dispatch.attempt._event_order import (
    SHOWN_MS,
    PoolNumbering,
    StreamNumbering,
)
from figshunt.types import AttemptFailure, RunnerId, SendState
from tests.builders import (
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
    build_reply_head,
)
from tests.dispatch.driver import CoreDriver, select_effects


class StreamDriver:
    """A core whose calls are answered with streams of numbered pieces."""

    def __init__(self, **route_changes: object) -> None:
        self.core = CoreDriver(
            *(build_published_runner(f"e{number}") for number in range(4)),
            configuration=build_configuration(build_published_route(**route_changes)),
        )
        self._calls = 0

    def start_stream(self, **call_changes: object) -> None:
        """Send a new call and start its answer."""
        self._calls += 1
        self.core.effects.clear()
        self.core.call(build_call(f"r{self._calls}", **call_changes))
        self.start_answer()

    def start_answer(self) -> None:
        """Start the answer of the runner that got the call last."""
        head = build_reply_head(is_stream=True)
        attempt_id = self.core.last_attempt().attempt_id
        self.core.handle(ReplyStarted(attempt_id, head))

    def send(self, piece: int, event_id: int | None, has_data: bool = True) -> bool:
        """Send a piece; return whether another runner gets the request."""
        attempt_id = self.core.last_attempt().attempt_id
        effects = self.core.handle(
            ReplyEvent(attempt_id, event_id, b"%d" % piece, False, has_data)
        )
        return bool(select_effects(effects, StartCallAttempt))

    def send_rest(self, first: int, last: int) -> None:
        """Send sound events and end the stream."""
        for number in range(first, last + 1):
            self.send(number, number)
        self.end()

    def end(self) -> None:
        """End the stream as complete."""
        self.core.handle(ReplyEnded(self.core.last_attempt().attempt_id))

    def lose_connection(self) -> None:
        """Reset the connection to the runner."""
        self.core.handle(
            CallAttemptFailed(
                self.core.last_attempt().attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "reset",
            )
        )

    def serve_sound_stream(self) -> None:
        """Serve a call with three events that are numbered from 1."""
        self.start_stream()
        self.send_rest(1, 3)

    @property
    def resume_after(self) -> int | None:
        """Return the id after which the last runner is to go on."""
        return self.core.last_attempt().resume_after

    @property
    def pieces(self) -> list[int]:
        """Return the pieces that the caller of the last call got."""
        return [int(event.data) for event in self.core.effects_of(AnswerEvent)]

    @property
    def is_complete(self) -> bool:
        """Return whether the stream of the last call ended as complete."""
        return len(self.core.effects_of(AnswerEnd)) == 1


class EventOrderTest(unittest.TestCase):
    """Base class of the tests below."""

    def setUp(self) -> None:
        self.stream = StreamDriver()

    def assert_pieces(self, *pieces: int) -> None:
        self.assertEqual(list(pieces), self.stream.pieces)
        self.assertTrue(self.stream.is_complete)


class SpoiledStreamTest(EventOrderTest):
    """Guards against a stream that ends as complete with a piece twice or missing.

    A faulty runner may spoil any byte, also those of an event's id.
    """

    def test_first_event_without_id_is_not_sent_twice(self) -> None:
        self.stream.start_stream()
        self.stream.send(1, None)
        self.stream.lose_connection()
        self.assertIsNone(self.stream.resume_after)
        self.stream.start_answer()
        self.stream.send_rest(1, 3)
        self.assert_pieces(1, 2, 3)

    def test_event_without_id_is_not_sent_twice(self) -> None:
        self.stream.start_stream()
        self.stream.send(1, 1)
        self.stream.send(2, None)
        self.assertTrue(self.stream.send(3, 3))
        self.assertEqual(1, self.stream.resume_after)
        self.stream.start_answer()
        self.stream.send_rest(2, 4)
        self.assert_pieces(1, 2, 3, 4)

    def test_stream_does_not_resume_after_a_wrong_id(self) -> None:
        self.stream.start_stream()
        self.stream.send(1, 1)
        self.stream.send(2, 9)
        self.assertTrue(self.stream.send(3, 3))
        self.assertEqual(1, self.stream.resume_after)
        self.stream.start_answer()
        self.stream.send_rest(2, 10)
        self.assert_pieces(*range(1, 11))

    def test_stream_with_a_wrong_first_id_starts_again(self) -> None:
        self.stream.start_stream()
        self.stream.send(1, 7)
        self.assertTrue(self.stream.send(2, 2))
        self.assertIsNone(self.stream.resume_after)
        self.stream.start_answer()
        self.stream.send_rest(1, 3)
        self.assert_pieces(1, 2, 3)

    def test_wrong_id_before_a_reset_is_not_the_place_to_resume(self) -> None:
        self.stream.start_stream()
        self.stream.send(1, 1)
        self.stream.send(2, 9)
        self.stream.lose_connection()
        self.assertEqual(1, self.stream.resume_after)

    def test_known_numbering_shows_each_deviation_at_once(self) -> None:
        """Events with neither id nor data are comments, so their piece is skipped."""
        deviations: tuple[tuple[str, int, int | None, bool], ...] = (
            ("no id", 1, None, True),
            ("wrong first id", 1, 7, True),
            ("first piece lost", 2, 2, True),
            ("no data", 1, 1, False),
        )
        for name, piece, event_id, has_data in deviations:
            with self.subTest(name):
                self.setUp()
                self.stream.serve_sound_stream()
                self.stream.start_stream()
                self.assertTrue(self.stream.send(piece, event_id, has_data))
                self.stream.start_answer()
                self.stream.send_rest(1, 3)
                self.assert_pieces(1, 2, 3)

    def test_callers_own_resumption_has_to_go_on_after_its_last_event(self) -> None:
        self.stream.start_stream(resume_after=4)
        self.stream.send(5, 5)
        self.assertFalse(self.stream.send(6, 6))
        self.stream.end()
        self.assert_pieces(5, 6)


class NumberingTest(EventOrderTest):
    """Guards against refusing sound streams because they are numbered differently."""

    def test_runners_may_change_their_numbering(self) -> None:
        """Streams are served with any increasing ids once the change is known."""
        self.stream.serve_sound_stream()
        for _ in range(6):
            self.stream.start_stream()
            while self.stream.send(1, 10):
                self.stream.start_answer()
            self.stream.core.advance(3_000)
        self.stream.start_stream()
        for number in range(1, 4):
            self.assertFalse(self.stream.send(number, 10 * number))
        self.stream.end()
        self.assert_pieces(1, 2, 3)

    def test_runner_in_trouble_does_not_change_the_numbering_of_its_pool(self) -> None:
        """Guards against events without ids that pass as one runner sent many."""
        for sound_ids in (["e1"], ["e1", "e2", "e3"]):
            with self.subTest(sound_ids=sound_ids):
                numbering = PoolNumbering()
                for runner_id in ["e0", *sound_ids]:
                    numbering.record_complete(RunnerId(runner_id), 1, 0)
                for now_ms in range(10):
                    numbering.record_deviation(RunnerId("e0"), now_ms)
                self.assertEqual(StreamNumbering(1), numbering.current)

    def test_numbering_that_most_runners_left_is_forgotten(self) -> None:
        numbering = PoolNumbering()
        runner_ids = [RunnerId(f"e{number}") for number in range(5)]
        for runner_id in runner_ids:
            numbering.record_complete(runner_id, 1, 0)
        for runner_id in runner_ids[:3]:
            self.assertIsNotNone(numbering.current)
            for now_ms in range(3):
                numbering.record_deviation(runner_id, now_ms)
        self.assertIsNone(numbering.current)
        for runner_id in runner_ids[:3]:
            numbering.record_complete(runner_id, 0, 10)
        self.assertEqual(StreamNumbering(0), numbering.current)

    def test_runners_without_streams_no_longer_show_a_numbering(self) -> None:
        """Guards against a pool whose replaced runners are all taken for faulty."""
        numbering = PoolNumbering()
        for number in range(5):
            numbering.record_complete(RunnerId(f"old{number}"), 1, 0)
        for number in range(3):
            self.assertEqual(StreamNumbering(1), numbering.current)
            numbering.record_deviation(RunnerId("new"), SHOWN_MS + 1 + number)
        self.assertIsNone(numbering.current)

    def test_ids_of_any_numbering_are_served(self) -> None:
        for ids in ((10, 14, 18), (4, 8, 13, 20), (1, 2, 3), (0, 1), (5,)):
            with self.subTest(ids=ids):
                self.setUp()
                self.stream.start_stream()
                for event_id in ids:
                    self.stream.send(event_id, event_id)
                self.stream.end()
                self.assert_pieces(*ids)

    def test_stream_without_ids_is_served_and_never_resumed(self) -> None:
        self.stream.start_stream()
        for piece in range(1, 4):
            self.stream.send(piece, None)
        self.stream.lose_connection()
        core = self.stream.core
        self.assertEqual(1, len(core.effects_of(StartCallAttempt)))
        self.assertEqual(1, len(core.effects_of(AnswerAbort)))

    def test_last_event_may_lack_an_id(self) -> None:
        self.stream.start_stream()
        self.stream.send(1, 1)
        self.stream.send(2, 2)
        self.stream.send(3, None)
        self.stream.end()
        self.assert_pieces(1, 2, 3)

    def test_events_of_streams_that_cannot_be_resumed_are_not_held(self) -> None:
        self.stream = StreamDriver(repeatability=Repeatability.RUN_ONCE)
        self.stream.start_stream()
        self.stream.send(1, None)
        self.stream.send(2, 5)
        self.assertEqual([1, 2], self.stream.pieces)


if __name__ == "__main__":
    unittest.main()
