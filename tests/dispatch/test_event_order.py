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
from figshunt.types import AttemptFailure, SendState
from tests.builders import (
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
    build_reply_head,
)
from tests.dispatch.driver import CoreDriver, select_effects


class SpoiledStreamTest(unittest.TestCase):
    """Guards against a stream that ends as complete with a piece twice or missing.

    A faulty runner may spoil any byte, also those of an event's id.
    """

    def setUp(self) -> None:
        self.calls = 0
        self.driver = CoreDriver(
            *(build_published_runner(f"e{number}") for number in range(4)),
            configuration=build_configuration(build_published_route()),
        )

    def start_stream(self) -> None:
        self.calls += 1
        self.driver.effects.clear()
        self.driver.call(build_call(f"r{self.calls}"))
        self.start_answer()

    def start_answer(self) -> None:
        head = build_reply_head(is_stream=True)
        attempt_id = self.driver.last_attempt().attempt_id
        self.driver.handle(ReplyStarted(attempt_id, head))

    def send(self, piece: int, event_id: int | None, has_data: bool = True) -> bool:
        """Send a piece; return whether another runner gets the request."""
        attempt_id = self.driver.last_attempt().attempt_id
        effects = self.driver.handle(
            ReplyEvent(attempt_id, event_id, b"%d" % piece, False, has_data)
        )
        return bool(select_effects(effects, StartCallAttempt))

    def send_rest(self, first: int, last: int) -> None:
        """Send sound events and end the stream."""
        for number in range(first, last + 1):
            self.send(number, number)
        self.end()

    def end(self) -> None:
        self.driver.handle(ReplyEnded(self.driver.last_attempt().attempt_id))

    def lose_connection(self) -> None:
        self.driver.handle(
            CallAttemptFailed(
                self.driver.last_attempt().attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "reset",
            )
        )

    def serve_sound_stream(self) -> None:
        self.start_stream()
        self.send_rest(1, 3)

    def assert_pieces(self, *pieces: int) -> None:
        events = self.driver.effects_of(AnswerEvent)
        self.assertEqual(list(pieces), [int(event.data) for event in events])
        self.assertEqual(1, len(self.driver.effects_of(AnswerEnd)))

    def test_first_event_without_id_is_not_sent_twice(self) -> None:
        self.start_stream()
        self.send(1, None)
        self.lose_connection()
        self.assertIsNone(self.driver.last_attempt().resume_after)
        self.start_answer()
        self.send_rest(1, 3)
        self.assert_pieces(1, 2, 3)

    def test_event_without_id_is_not_sent_twice(self) -> None:
        self.start_stream()
        self.send(1, 1)
        self.send(2, None)
        self.assertTrue(self.send(3, 3))
        self.assertEqual(1, self.driver.last_attempt().resume_after)
        self.start_answer()
        self.send_rest(2, 4)
        self.assert_pieces(1, 2, 3, 4)

    def test_stream_does_not_resume_after_a_wrong_id(self) -> None:
        self.start_stream()
        self.send(1, 1)
        self.send(2, 9)
        self.assertTrue(self.send(3, 3))
        self.assertEqual(1, self.driver.last_attempt().resume_after)
        self.start_answer()
        self.send_rest(2, 10)
        self.assert_pieces(*range(1, 11))

    def test_stream_with_a_wrong_first_id_starts_again(self) -> None:
        self.start_stream()
        self.send(1, 7)
        self.assertTrue(self.send(2, 2))
        self.assertIsNone(self.driver.last_attempt().resume_after)
        self.start_answer()
        self.send_rest(1, 3)
        self.assert_pieces(1, 2, 3)

    def test_wrong_id_before_a_reset_is_not_the_place_to_resume(self) -> None:
        self.start_stream()
        self.send(1, 1)
        self.send(2, 9)
        self.lose_connection()
        self.assertEqual(1, self.driver.last_attempt().resume_after)

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
                self.serve_sound_stream()
                self.start_stream()
                self.assertTrue(self.send(piece, event_id, has_data))
                self.start_answer()
                self.send_rest(1, 3)
                self.assert_pieces(1, 2, 3)

    def test_callers_own_resumption_has_to_go_on_after_its_last_event(self) -> None:
        self.driver.call(build_call(resume_after=4))
        self.start_answer()
        self.send(5, 5)
        self.assertFalse(self.send(6, 6))
        self.end()
        self.assert_pieces(5, 6)


class NumberingTest(unittest.TestCase):
    """Guards against refusing sound streams because they are numbered differently."""

    def setUp(self) -> None:
        self.stream = SpoiledStreamTest()
        self.stream.setUp()

    def test_runners_may_change_their_numbering(self) -> None:
        """Streams are served with any increasing ids once the change is known."""
        self.stream.serve_sound_stream()
        for _ in range(3):
            self.stream.start_stream()
            self.stream.send(1, 10)
            self.stream.driver.advance(3_000)
        self.stream.start_stream()
        for number in range(1, 4):
            self.assertFalse(self.stream.send(number, 10 * number))
        self.stream.end()
        self.stream.assert_pieces(1, 2, 3)

    def test_ids_of_any_numbering_are_served(self) -> None:
        for ids in ((10, 14, 18), (4, 8, 13, 20), (1, 2, 3), (0, 1), (5,)):
            with self.subTest(ids=ids):
                self.setUp()
                self.stream.start_stream()
                for event_id in ids:
                    self.stream.send(event_id, event_id)
                self.stream.end()
                self.stream.assert_pieces(*ids)

    def test_stream_without_ids_is_served_and_never_resumed(self) -> None:
        self.stream.start_stream()
        for piece in range(1, 4):
            self.stream.send(piece, None)
        self.stream.lose_connection()
        driver = self.stream.driver
        self.assertEqual(1, len(driver.effects_of(StartCallAttempt)))
        self.assertEqual(1, len(driver.effects_of(AnswerAbort)))

    def test_last_event_may_lack_an_id(self) -> None:
        self.stream.start_stream()
        self.stream.send(1, 1)
        self.stream.send(2, 2)
        self.stream.send(3, None)
        self.stream.end()
        self.stream.assert_pieces(1, 2, 3)

    def test_events_of_streams_that_cannot_be_resumed_are_not_held(self) -> None:
        self.stream.driver = CoreDriver(
            build_published_runner("e1"),
            configuration=build_configuration(
                build_published_route(repeatability=Repeatability.RUN_ONCE)
            ),
        )
        self.stream.start_stream()
        self.stream.send(1, None)
        self.stream.send(2, 5)
        self.assertEqual(2, len(self.stream.driver.effects_of(AnswerEvent)))


if __name__ == "__main__":
    unittest.main()
