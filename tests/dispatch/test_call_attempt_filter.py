"""The handling of attempts that are refused, fail, stall or are resumed."""

import unittest

from figshunt.directory import Repeatability
from figshunt.dispatch import (
    AnswerAbort,
    AnswerComplete,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    AnswerStart,
    CallAbandoned,
    CallAttemptFailed,
    CancelCallAttempt,
    ReplyComplete,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
    ReplyVerdict,
    StartCallAttempt,
)
from figshunt.types import AttemptFailure, Effect, LogEvent, SendState
from tests.builders import (
    build_call,
    build_configuration,
    build_prompt,
    build_published_route,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver, select_effects

BOOKING = build_call("b1", "/book/1")


def build_booking_driver(**route_changes: object) -> CoreDriver:
    return CoreDriver(
        build_published_runner("b1", "bookings"),
        build_published_runner("b2", "bookings"),
        configuration=build_configuration(
            build_published_route(), build_run_once_route(**route_changes)
        ),
    )


def build_stream_driver(**route_changes: object) -> CoreDriver:
    return CoreDriver(
        build_published_runner("e1"),
        build_published_runner("e2"),
        configuration=build_configuration(build_published_route(**route_changes)),
    )


class RunOnceTest(unittest.TestCase):
    """Guards against a second run, and against reporting "not run" for a lost call.

    Status 503 with a time to retry tells the caller that the request did not run.
    Status 502 without one says that it may have run.
    """

    def lose_connection(self, driver: CoreDriver) -> list[Effect]:
        return driver.handle(
            CallAttemptFailed(
                driver.last_attempt().attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "reset",
            )
        )

    def test_lost_connection_is_not_retried_and_answered_with_502(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = self.lose_connection(driver)
        self.assertEqual([], select_effects(effects, StartCallAttempt))
        (error,) = select_effects(effects, AnswerError)
        self.assertEqual(502, error.status)
        self.assertIsNone(error.retry_after_ms)

    def test_refused_request_goes_to_another_runner(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        first = driver.last_attempt()
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        (second,) = select_effects(
            driver.handle(ReplyComplete(first.attempt_id, head, b"")), StartCallAttempt
        )
        self.assertNotEqual(first.runner_id, second.runner_id)

    def test_refusals_by_all_runners_are_answered_with_503(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        for _ in range(3):
            self.assertEqual([], driver.effects_of(AnswerError))
            driver.handle(ReplyComplete(driver.last_attempt().attempt_id, head, b""))
            driver.advance(100)
        (error,) = driver.effects_of(AnswerError)
        self.assertEqual(503, error.status)
        self.assertIsNotNone(error.retry_after_ms)

    def test_refusal_after_lost_connection_is_answered_with_502(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, max_runners=2
        )
        driver.call(BOOKING)
        self.lose_connection(driver)
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        driver.handle(ReplyComplete(driver.last_attempt().attempt_id, head, b""))
        driver.advance(100)
        (error,) = driver.effects_of(AnswerError)
        self.assertEqual(502, error.status)

    def test_answer_to_another_request_is_not_forwarded(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        for changes in ({"matches_request": False}, {"has_receipt": False}):
            with self.subTest(**changes):
                driver = build_booking_driver()
                driver.call(BOOKING)
                head = build_reply_head(**changes)
                effects = driver.handle(
                    ReplyComplete(driver.last_attempt().attempt_id, head, b"x")
                )
                self.assertEqual([], select_effects(effects, AnswerComplete))
                self.assertEqual(502, select_effects(effects, AnswerError)[0].status)

    def test_refusal_of_another_request_does_not_prove_that_this_one_did_not_run(
        self,
    ) -> None:
        """A late copy of an earlier refusal says nothing about this request."""
        for status, verdict in (
            (503, ReplyVerdict.REFUSED),
            (421, ReplyVerdict.WRONG_RUNNER),
        ):
            with self.subTest(verdict):
                driver = build_booking_driver()
                driver.call(BOOKING)
                head = build_reply_head(
                    status, verdict=verdict, has_receipt=False, matches_request=False
                )
                effects = driver.handle(
                    ReplyComplete(driver.last_attempt().attempt_id, head, b"")
                )
                self.assertEqual([], select_effects(effects, StartCallAttempt))
                (error,) = select_effects(effects, AnswerError)
                self.assertEqual(502, error.status)
                self.assertIsNone(error.retry_after_ms)

    def test_refusing_status_without_statement_is_not_forwarded(self) -> None:
        """The caller would take the status for a promise that nothing ran."""
        driver = build_booking_driver()
        driver.call(BOOKING)
        head = build_reply_head(503, verdict=ReplyVerdict.UNPROVEN_REFUSAL)
        effects = driver.handle(
            ReplyComplete(driver.last_attempt().attempt_id, head, b"busy")
        )
        self.assertEqual([], select_effects(effects, AnswerComplete))
        self.assertEqual(502, select_effects(effects, AnswerError)[0].status)

    def test_runner_error_with_receipt_is_forwarded(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = driver.handle(
            ReplyComplete(
                driver.last_attempt().attempt_id, build_reply_head(500), b"no"
            )
        )
        (answer,) = select_effects(effects, AnswerComplete)
        self.assertEqual((500, b"no"), (answer.head.status, answer.body))

    def test_late_answer_to_ended_attempt_is_dropped(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        attempt_id = driver.last_attempt().attempt_id
        self.lose_connection(driver)
        effects = driver.handle(ReplyComplete(attempt_id, build_reply_head(), b"x"))
        self.assertEqual([], effects)

    def test_request_fails_at_the_timeout_of_its_route(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = driver.advance(1_000)
        self.assertEqual(504, select_effects(effects, AnswerError)[0].status)
        self.assertEqual(1, len(select_effects(effects, CancelCallAttempt)))


class RetryTest(unittest.TestCase):
    """Guards against missing retries, and against more runs than the route allows."""

    def test_runner_error_is_retried_on_one_other_runner(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, max_runners=2
        )
        driver.call(BOOKING)
        error_head = build_reply_head(500)
        driver.handle(ReplyComplete(driver.last_attempt().attempt_id, error_head, b""))
        self.assertEqual(2, len(driver.effects_of(StartCallAttempt)))
        driver.handle(ReplyComplete(driver.last_attempt().attempt_id, error_head, b""))
        self.assertEqual(2, len(driver.effects_of(StartCallAttempt)))
        self.assertEqual(500, driver.effects_of(AnswerComplete)[0].head.status)

    def test_runner_that_rejected_a_request_runs_it_once(self) -> None:
        """Guards against a second run where a rejection preceded the first one."""
        driver = CoreDriver(
            build_published_runner("b1", "bookings"),
            configuration=build_configuration(
                build_run_once_route(
                    repeatability=Repeatability.REPEATABLE, max_runners=2
                )
            ),
        )
        driver.call(BOOKING)
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        driver.handle(ReplyComplete(driver.last_attempt().attempt_id, head, b""))
        driver.advance(100)
        self.assertEqual(2, len(driver.effects_of(StartCallAttempt)))
        attempt_id = driver.last_attempt().attempt_id
        driver.handle(ReplyComplete(attempt_id, build_reply_head(500), b""))
        driver.advance(100)
        self.assertEqual(2, len(driver.effects_of(StartCallAttempt)))

    def test_request_at_silent_runner_goes_to_another(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, max_runners=2
        )
        driver.call(BOOKING)
        effects = driver.advance(400)
        self.assertEqual(1, len(select_effects(effects, CancelCallAttempt)))
        self.assertEqual(1, len(select_effects(effects, StartCallAttempt)))

    def test_retry_gets_the_remaining_time(self) -> None:
        driver = build_booking_driver(
            repeatability=Repeatability.REPEATABLE, max_runners=2
        )
        driver.call(BOOKING)
        driver.advance(400)
        self.assertEqual(600, driver.last_attempt().time_limit_ms)

    def test_abandoned_call_cancels_its_attempt(self) -> None:
        driver = build_booking_driver()
        driver.call(BOOKING)
        effects = driver.handle(CallAbandoned(BOOKING.call_id))
        self.assertEqual(1, len(select_effects(effects, CancelCallAttempt)))
        self.assertEqual(0, driver.core.attempts.in_flight)


class StreamTest(unittest.TestCase):
    """A caller must not see a stream with gaps, duplicate events or a false end."""

    def start_stream(self, driver: CoreDriver) -> None:
        driver.call(build_call())
        self.start_answer(driver)

    def start_answer(self, driver: CoreDriver) -> None:
        head = build_reply_head(is_stream=True)
        driver.handle(ReplyStarted(driver.last_attempt().attempt_id, head))

    def send_event(self, driver: CoreDriver, event_id: int) -> list[Effect]:
        data = b"id: %d\n\n" % event_id
        return driver.handle(
            ReplyEvent(driver.last_attempt().attempt_id, event_id, data)
        )

    def lose_connection(self, driver: CoreDriver) -> list[Effect]:
        return driver.handle(
            CallAttemptFailed(
                driver.last_attempt().attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "cut",
            )
        )

    def test_stream_resumes_after_last_event_without_second_head(self) -> None:
        driver = build_stream_driver()
        self.start_stream(driver)
        self.send_event(driver, 1)
        self.send_event(driver, 2)
        self.lose_connection(driver)
        self.assertEqual(2, driver.last_attempt().resume_after)
        self.start_answer(driver)
        self.send_event(driver, 3)
        driver.handle(ReplyEnded(driver.last_attempt().attempt_id))
        self.assertEqual(1, len(driver.effects_of(AnswerStart)))
        self.assertEqual(
            [b"id: 1\n\n", b"id: 2\n\n", b"id: 3\n\n"],
            [event.data for event in driver.effects_of(AnswerEvent)],
        )
        self.assertEqual(1, len(driver.effects_of(AnswerEnd)))

    def test_stream_that_ends_with_its_connection_before_any_event_is_lost(
        self,
    ) -> None:
        """A runner that crashes there must not look as if it had answered."""
        driver = build_stream_driver()
        driver.call(build_call())
        head = build_reply_head(is_stream=True, is_delimited=False)
        driver.handle(ReplyStarted(driver.last_attempt().attempt_id, head))
        effects = driver.handle(ReplyEnded(driver.last_attempt().attempt_id))
        self.assertEqual([], select_effects(effects, AnswerEnd))
        self.assertEqual(1, len(select_effects(effects, StartCallAttempt)))

    def test_stream_that_is_not_resumable_is_broken_off(self) -> None:
        driver = build_stream_driver(repeatability=Repeatability.RUN_ONCE)
        self.start_stream(driver)
        self.send_event(driver, 1)
        effects = self.lose_connection(driver)
        self.assertEqual([], select_effects(effects, StartCallAttempt))
        self.assertEqual(1, len(select_effects(effects, AnswerAbort)))
        self.assertEqual([], driver.effects_of(AnswerEnd))

    def test_started_stream_without_another_runner_is_broken_off(self) -> None:
        driver = CoreDriver(
            build_published_runner("e1"),
            configuration=build_configuration(build_published_route()),
        )
        self.start_stream(driver)
        self.send_event(driver, 1)
        self.lose_connection(driver)
        driver.advance(100)
        self.assertEqual(1, len(driver.effects_of(AnswerAbort)))
        self.assertEqual([], driver.effects_of(AnswerError))

    def test_duplicate_event_is_not_forwarded(self) -> None:
        driver = build_stream_driver(repeatability=Repeatability.RUN_ONCE)
        self.start_stream(driver)
        self.send_event(driver, 1)
        effects = self.send_event(driver, 1)
        self.assertEqual([], select_effects(effects, AnswerEvent))
        self.assertEqual(1, len(select_effects(effects, AnswerAbort)))

    def test_missing_event_breaks_a_stream_that_cannot_resume(self) -> None:
        """Ids that were consecutive and then skip one show that an event is lost."""
        driver = build_stream_driver(repeatability=Repeatability.RUN_ONCE)
        self.start_stream(driver)
        self.send_event(driver, 1)
        self.send_event(driver, 2)
        effects = self.send_event(driver, 5)
        self.assertEqual([], select_effects(effects, AnswerEvent))
        self.assertEqual(1, len(select_effects(effects, CancelCallAttempt)))
        self.assertEqual(1, len(select_effects(effects, AnswerAbort)))
        self.assertEqual([], driver.effects_of(AnswerEnd))

    def test_missing_event_is_fetched_from_another_runner(self) -> None:
        driver = build_stream_driver()
        self.start_stream(driver)
        self.send_event(driver, 1)
        self.send_event(driver, 2)
        self.send_event(driver, 5)
        self.assertEqual(2, driver.last_attempt().resume_after)
        self.start_answer(driver)
        for event_id in (3, 4, 5):
            self.send_event(driver, event_id)
        self.assertEqual(
            [b"id: %d\n\n" % event_id for event_id in (1, 2, 3, 4, 5)],
            [event.data for event in driver.effects_of(AnswerEvent)],
        )

    def test_resumed_stream_may_not_skip_events(self) -> None:
        driver = build_stream_driver(max_runners=2)
        self.start_stream(driver)
        self.send_event(driver, 1)
        self.send_event(driver, 2)
        self.lose_connection(driver)
        self.start_answer(driver)
        effects = self.send_event(driver, 4)
        self.assertEqual([], select_effects(effects, AnswerEvent))
        self.assertEqual(1, len(select_effects(effects, AnswerAbort)))

    def test_ids_that_are_not_consecutive_only_have_to_increase(self) -> None:
        driver = build_stream_driver(repeatability=Repeatability.RUN_ONCE)
        self.start_stream(driver)
        for event_id in (10, 14, 15, 22):
            self.send_event(driver, event_id)
        self.assertEqual(4, len(driver.effects_of(AnswerEvent)))

    def test_error_of_the_next_runner_does_not_enter_a_started_stream(self) -> None:
        """Guards against error text in a stream, and against a false end of it."""
        cases = {
            "error": build_reply_head(500),
            "plain success": build_reply_head(200),
            "refusal": build_reply_head(
                503, verdict=ReplyVerdict.REFUSED, has_receipt=False
            ),
            "unproven refusal": build_reply_head(
                503, verdict=ReplyVerdict.UNPROVEN_REFUSAL
            ),
        }
        for name, head in cases.items():
            with self.subTest(name):
                driver = build_stream_driver(max_runners=2)
                self.start_stream(driver)
                self.send_event(driver, 1)
                self.lose_connection(driver)
                driver.handle(
                    ReplyComplete(driver.last_attempt().attempt_id, head, b"no")
                )
                driver.advance(100)
                self.assertEqual(1, len(driver.effects_of(AnswerAbort)))
                self.assertEqual(1, len(driver.effects_of(AnswerStart)))
                self.assertEqual(1, len(driver.effects_of(AnswerEvent)))
                self.assertEqual([], driver.effects_of(AnswerComplete))
                self.assertEqual([], driver.effects_of(AnswerError))
                self.assertEqual([], driver.effects_of(AnswerEnd))

    def send_comment(self, driver: CoreDriver) -> list[Effect]:
        return driver.handle(
            ReplyEvent(driver.last_attempt().attempt_id, None, b":\n\n", True)
        )

    def test_stream_of_comments_counts_as_stalled(self) -> None:
        """A byte now and then is no progress: the request goes to another runner."""
        driver = build_stream_driver()
        self.start_stream(driver)
        self.send_event(driver, 1)
        first_runner_id = driver.last_attempt().runner_id
        for _ in range(30):
            driver.advance(100)
            if driver.last_attempt().runner_id != first_runner_id:
                break
            self.send_comment(driver)
        self.assertNotEqual(first_runner_id, driver.last_attempt().runner_id)
        self.assertEqual(1, driver.last_attempt().resume_after)

    def test_stream_of_comments_ends_at_the_deadline(self) -> None:
        driver = build_stream_driver(repeatability=Repeatability.RUN_ONCE)
        self.start_stream(driver)
        self.send_event(driver, 1)
        waited_ms = 0
        while not driver.effects_of(AnswerAbort):
            self.send_comment(driver)
            driver.advance(100)
            waited_ms += 100
            self.assertLessEqual(waited_ms, build_published_route().timeout_ms)
        self.assertEqual([], driver.effects_of(AnswerEnd))
        self.assertEqual(1, len(driver.effects_of(CancelCallAttempt)))

    def test_slow_stream_that_cannot_resume_is_not_cut(self) -> None:
        """Events that come five times slower than the target are late, not lost."""
        driver = build_stream_driver(
            repeatability=Repeatability.RUN_ONCE, gap_target_ms=100
        )
        self.start_stream(driver)
        for event_id in range(1, 9):
            driver.advance(500)
            self.send_event(driver, event_id)
        driver.handle(ReplyEnded(driver.last_attempt().attempt_id))
        self.assertEqual(8, len(driver.effects_of(AnswerEvent)))
        self.assertEqual(1, len(driver.effects_of(AnswerEnd)))
        self.assertEqual([], driver.effects_of(CancelCallAttempt))

    def test_silent_stream_is_not_ended_while_no_other_runner_can_take_it(self) -> None:
        """Guards against answers that are cut because their runner pauses."""
        driver = build_stream_driver()
        self.start_stream(driver)
        self.send_event(driver, 1)
        (other_id,) = {"e1", "e2"} - {driver.last_attempt().runner_id}
        driver.unlist_runner(other_id)
        for _ in range(30):
            driver.advance(100)
        self.assertEqual([], driver.effects_of(CancelCallAttempt))
        self.send_event(driver, 2)
        self.assertEqual(2, len(driver.effects_of(AnswerEvent)))

    def test_slow_stream_is_not_cut_once_no_other_runner_is_left(self) -> None:
        driver = build_stream_driver(gap_target_ms=100, max_runners=1)
        self.start_stream(driver)
        for event_id in range(1, 6):
            driver.advance(900)
            self.send_event(driver, event_id)
        self.assertEqual(5, len(driver.effects_of(AnswerEvent)))
        self.assertEqual([], driver.effects_of(CancelCallAttempt))

    def test_events_of_ended_attempt_are_dropped(self) -> None:
        driver = build_stream_driver()
        self.start_stream(driver)
        ended_attempt_id = driver.last_attempt().attempt_id
        self.lose_connection(driver)
        self.assertEqual(
            [], driver.handle(ReplyEvent(ended_attempt_id, 1, b"id: 1\n\n"))
        )

    def test_resume_request_of_caller_is_forwarded(self) -> None:
        driver = build_stream_driver()
        driver.call(build_call(resume_after=7))
        self.assertEqual(7, driver.last_attempt().resume_after)


class CallSentLogTest(unittest.TestCase):
    """Guards against logs that don't tell why an engine put a request back."""

    def test_line_has_priority_and_streams_that_host_knows_of(self) -> None:
        driver = CoreDriver(
            build_published_runner("e1"),
            configuration=build_configuration(build_published_route(urgency=1)),
        )
        for call_id in ("r1", "r2"):
            driver.call(build_call(call_id, prompt=build_prompt()))
        lines = [
            line.fields
            for line in driver.effects_of(LogEvent)
            if line.event == "call_sent"
        ]
        self.assertEqual([1, 1], [line["priority"] for line in lines])
        self.assertEqual([0, 1], [line["known_streams"] for line in lines])


if __name__ == "__main__":
    unittest.main()
