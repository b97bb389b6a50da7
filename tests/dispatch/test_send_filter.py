"""What becomes of a request when runners refuse, fail, fall silent or resume."""

import unittest

from figshunt.directory import Repeatability
from figshunt.dispatch import (
    AnswerBegin,
    AnswerBreak,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    AnswerWhole,
    CallAbandoned,
    CancelSend,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
    ReplyVerdict,
    ReplyWhole,
    SendCall,
    SendFailed,
)
from figshunt.types import AttemptFailure, Effect, SendState
from tests.builders import (
    build_booking_route,
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
    build_reply_head,
)
from tests.dispatch.driver import CoreDriver, select

BOOKING = build_call("b1", "/book/1")


def build_booking_driver(**route_changes: object) -> CoreDriver:
    return CoreDriver(
        build_published_runner("b1", "bookings"),
        build_published_runner("b2", "bookings"),
        configuration=build_configuration(
            build_published_route(), build_booking_route(**route_changes)
        ),
    )


def build_stream_driver(**route_changes: object) -> CoreDriver:
    return CoreDriver(
        build_published_runner("e1"),
        build_published_runner("e2"),
        configuration=build_configuration(build_published_route(**route_changes)),
    )


class RunOnceTest(unittest.TestCase):
    """Guards against a second run, and against a false word that none was."""

    def lose_connection(self, driver: CoreDriver) -> list[Effect]:
        return driver.feed(
            SendFailed(
                driver.last_send().attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "reset",
            )
        )

    def test_lost_connection_is_not_repeated_nor_called_not_run(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = self.lose_connection(driver)
        self.assertEqual([], select(effects, SendCall))
        (error,) = select(effects, AnswerError)
        self.assertEqual(502, error.status)
        self.assertIsNone(error.retry_after_ms)

    def test_refused_by_runner_goes_to_another(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        first = driver.last_send()
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        (second,) = select(
            driver.feed(ReplyWhole(first.attempt_id, head, b"")), SendCall
        )
        self.assertNotEqual(first.runner_id, second.runner_id)

    def test_refused_by_all_is_told_as_not_run(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        for _ in range(2):
            driver.feed(ReplyWhole(driver.last_send().attempt_id, head, b""))
        driver.pass_time(100)
        (error,) = driver.all_of(AnswerError)
        self.assertEqual(503, error.status)
        self.assertIsNotNone(error.retry_after_ms)

    def test_refused_after_lost_run_is_not_told_as_not_run(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, most_runners=2
        )
        driver.call(BOOKING)
        self.lose_connection(driver)
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        driver.feed(ReplyWhole(driver.last_send().attempt_id, head, b""))
        driver.pass_time(100)
        (error,) = driver.all_of(AnswerError)
        self.assertEqual(502, error.status)

    def test_answer_of_another_request_is_not_passed_on(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        for changes in ({"is_ours": False}, {"has_receipt": False}):
            with self.subTest(**changes):
                driver = build_booking_driver()
                driver.call(BOOKING)
                head = build_reply_head(**changes)
                effects = driver.feed(
                    ReplyWhole(driver.last_send().attempt_id, head, b"x")
                )
                self.assertEqual([], select(effects, AnswerWhole))
                self.assertEqual(502, select(effects, AnswerError)[0].status)

    def test_runner_failure_with_receipt_is_passed_on(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = driver.feed(
            ReplyWhole(driver.last_send().attempt_id, build_reply_head(500), b"no")
        )
        (answer,) = select(effects, AnswerWhole)
        self.assertEqual((500, b"no"), (answer.head.status, answer.body))

    def test_late_answer_of_an_ended_send_is_dropped(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        attempt_id = driver.last_send().attempt_id
        self.lose_connection(driver)
        effects = driver.feed(ReplyWhole(attempt_id, build_reply_head(), b"x"))
        self.assertEqual([], effects)

    def test_deadline_ends_the_wait_at_the_route_timeout(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = driver.pass_time(1_000)
        self.assertEqual(504, select(effects, AnswerError)[0].status)
        self.assertEqual(1, len(select(effects, CancelSend)))


class RepeatTest(unittest.TestCase):
    """Guards against lost answers that could be had, and runs beyond the bound."""

    def test_runner_error_is_tried_elsewhere_once(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, most_runners=2
        )
        driver.call(BOOKING)
        failed = build_reply_head(500)
        driver.feed(ReplyWhole(driver.last_send().attempt_id, failed, b""))
        self.assertEqual(2, len(driver.all_of(SendCall)))
        driver.feed(ReplyWhole(driver.last_send().attempt_id, failed, b""))
        self.assertEqual(2, len(driver.all_of(SendCall)))
        self.assertEqual(500, driver.all_of(AnswerWhole)[0].head.status)

    def test_silent_runner_is_left_for_another(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, most_runners=2
        )
        driver.call(BOOKING)
        effects = driver.pass_time(400)
        self.assertEqual(1, len(select(effects, CancelSend)))
        self.assertEqual(1, len(select(effects, SendCall)))

    def test_time_left_is_what_the_runner_gets(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, most_runners=2
        )
        driver.call(BOOKING)
        driver.pass_time(400)
        self.assertEqual(600, driver.last_send().patience_ms)

    def test_abandoned_call_stops_its_send(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = driver.feed(CallAbandoned(BOOKING.call_id))
        self.assertEqual(1, len(select(effects, CancelSend)))
        self.assertEqual(0, driver.core.sends.in_flight)


class StreamTest(unittest.TestCase):
    """Guards against streams with holes, doubled events or a false end."""

    def start(self, driver: CoreDriver) -> None:
        driver.call(build_call())
        self.begin(driver)

    def begin(self, driver: CoreDriver) -> None:
        head = build_reply_head(is_stream=True)
        driver.feed(ReplyStarted(driver.last_send().attempt_id, head))

    def send_event(self, driver: CoreDriver, event_id: int) -> list[Effect]:
        data = b"id: %d\n\n" % event_id
        return driver.feed(ReplyEvent(driver.last_send().attempt_id, event_id, data))

    def lose(self, driver: CoreDriver) -> list[Effect]:
        return driver.feed(
            SendFailed(
                driver.last_send().attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "cut",
            )
        )

    def test_resumes_after_the_last_event_with_one_head(self) -> None:
        driver = build_stream_driver()
        self.start(driver)
        self.send_event(driver, 1)
        self.send_event(driver, 2)
        self.lose(driver)
        self.assertEqual(2, driver.last_send().resume_after)
        self.begin(driver)
        self.send_event(driver, 3)
        driver.feed(ReplyEnded(driver.last_send().attempt_id))
        self.assertEqual(1, len(driver.all_of(AnswerBegin)))
        self.assertEqual(
            [b"id: 1\n\n", b"id: 2\n\n", b"id: 3\n\n"],
            [event.data for event in driver.all_of(AnswerEvent)],
        )
        self.assertEqual(1, len(driver.all_of(AnswerEnd)))

    def test_stream_that_may_not_resume_is_broken_off(self) -> None:
        driver = build_stream_driver(repeatability=Repeatability.RUN_ONCE)
        self.start(driver)
        self.send_event(driver, 1)
        effects = self.lose(driver)
        self.assertEqual([], select(effects, SendCall))
        self.assertEqual(1, len(select(effects, AnswerBreak)))
        self.assertEqual([], driver.all_of(AnswerEnd))

    def test_begun_stream_without_a_runner_left_is_broken_off(self) -> None:
        driver = CoreDriver(
            build_published_runner("e1"),
            configuration=build_configuration(build_published_route()),
        )
        self.start(driver)
        self.send_event(driver, 1)
        self.lose(driver)
        driver.pass_time(100)
        self.assertEqual(1, len(driver.all_of(AnswerBreak)))
        self.assertEqual([], driver.all_of(AnswerError))

    def test_doubled_event_is_not_passed_on(self) -> None:
        driver = build_stream_driver(repeatability=Repeatability.RUN_ONCE)
        self.start(driver)
        self.send_event(driver, 1)
        effects = self.send_event(driver, 1)
        self.assertEqual([], select(effects, AnswerEvent))
        self.assertEqual(1, len(select(effects, AnswerBreak)))

    def test_events_of_a_stopped_run_are_dropped(self) -> None:
        driver = build_stream_driver()
        self.start(driver)
        stopped = driver.last_send().attempt_id
        self.lose(driver)
        self.assertEqual([], driver.feed(ReplyEvent(stopped, 1, b"id: 1\n\n")))

    def test_caller_that_resumes_gets_what_follows(self) -> None:
        driver = build_stream_driver()
        driver.call(build_call(resume_after=7))
        self.assertEqual(7, driver.last_send().resume_after)


if __name__ == "__main__":
    unittest.main()
