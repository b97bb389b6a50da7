"""Runners that turn a request away and ask to be left alone for a time."""

import unittest

from figshunt.directory import EvacuationPublished
from figshunt.dispatch import (
    AnswerError,
    CallAttemptFailed,
    ReplyComplete,
    ReplyVerdict,
    StartCallAttempt,
)
from figshunt.types import (
    AttemptFailure,
    DataCentreName,
    LogEvent,
    RunnerId,
    SendState,
    Version,
)
from tests.builders import (
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

PAUSE_MS = 3_000


class PauseTest(unittest.TestCase):
    """Guards against requests to a runner that has asked for a pause."""

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner("b1", "bookings"),
            build_published_runner("b2", "bookings"),
            configuration=build_configuration(
                build_published_route(), build_run_once_route()
            ),
        )
        self.calls = 0

    def call(self) -> RunnerId | None:
        """Send a call; return the runner that gets it, if one does."""
        self.calls += 1
        self.driver.effects.clear()
        self.driver.call(build_call(f"r{self.calls}", "/book/1"))
        attempts = self.driver.effects_of(StartCallAttempt)
        return attempts[-1].runner_id if attempts else None

    def refuse(self, **changes: object) -> None:
        """Let the runner of the last attempt ask for a pause."""
        fields = {
            "verdict": ReplyVerdict.REFUSED,
            "has_receipt": False,
            "retry_after_ms": PAUSE_MS,
        }
        head = build_reply_head(503, **(fields | changes))
        attempt_id = self.driver.last_attempt().attempt_id
        self.driver.handle(ReplyComplete(attempt_id, head, b""))

    def serve(self) -> None:
        attempt_id = self.driver.last_attempt().attempt_id
        self.driver.handle(ReplyComplete(attempt_id, build_reply_head(), b""))

    def pause_first_runner(self, **changes: object) -> RunnerId:
        runner_id = self.call()
        assert runner_id is not None
        self.refuse(**changes)
        self.serve()
        return runner_id

    def call_repeatedly(self, duration_ms: int) -> set[RunnerId | None]:
        """Return the runners that got calls within a time."""
        runner_ids = set()
        for _ in range(duration_ms // 100):
            runner_ids.add(self.call())
            if self.driver.effects_of(StartCallAttempt):
                self.serve()
            self.driver.advance(100)
        return runner_ids

    def test_runner_gets_no_call_until_its_pause_ends(self) -> None:
        paused_id = self.pause_first_runner()
        self.assertNotIn(paused_id, self.call_repeatedly(PAUSE_MS - 100))
        self.assertIn(paused_id, self.call_repeatedly(1_000))

    def test_unproven_refusal_asks_for_a_pause_too(self) -> None:
        paused_id = self.call()
        self.refuse(verdict=ReplyVerdict.UNPROVEN_REFUSAL)
        self.assertNotIn(paused_id, self.call_repeatedly(PAUSE_MS - 100))

    def test_paused_runner_is_not_the_last_resort(self) -> None:
        """Other runners that are excluded may still get calls, this one may not."""
        paused_id = self.pause_first_runner()
        for _ in range(3):
            self.call()
            self.driver.handle(
                CallAttemptFailed(
                    self.driver.last_attempt().attempt_id,
                    AttemptFailure.REFUSED,
                    SendState.UNSENT,
                    "refused",
                )
            )
        self.assertNotIn(paused_id, self.call_repeatedly(1_000))

    def test_caller_is_told_when_a_runner_may_be_sent_to_again(self) -> None:
        self.call()
        self.refuse()
        self.refuse()
        self.driver.advance(500)
        self.driver.effects.clear()
        self.assertIsNone(self.call())
        self.driver.advance(200)
        (error,) = self.driver.effects_of(AnswerError)
        self.assertEqual(503, error.status)
        assert error.retry_after_ms is not None
        self.assertLess(PAUSE_MS - 1_000, error.retry_after_ms)

    def test_answer_without_a_pause_of_this_request_asks_for_none(self) -> None:
        cases: tuple[dict[str, object], ...] = (
            {"matches_request": False},
            {"retry_after_ms": None},
            {"retry_after_ms": -5},
        )
        for changes in cases:
            with self.subTest(**changes):
                self.setUp()
                self.call()
                self.refuse(**changes)
                events = [line.event for line in self.driver.effects_of(LogEvent)]
                self.assertIn("send_ended", events)
                self.assertNotIn("runner_paused", events)

    def test_pause_ends_with_the_process_that_asked_for_it(self) -> None:
        paused_id = self.pause_first_runner()
        self.driver.list_runner(
            build_published_runner(paused_id, "bookings", started_wall_ms=9_999)
        )
        self.assertIn(paused_id, self.call_repeatedly(1_000))

    def test_pause_outlasts_the_entry_of_its_runner(self) -> None:
        """Guards against calls to a runner whose entry lapsed or was written late."""
        paused_id = self.pause_first_runner()
        self.driver.unlist_runner(paused_id)
        self.driver.list_runner(build_published_runner(paused_id, "bookings"))
        self.assertNotIn(paused_id, self.call_repeatedly(PAUSE_MS - 100))
        self.assertIn(paused_id, self.call_repeatedly(1_000))

    def test_pause_outlasts_an_evacuation(self) -> None:
        """Another runner's removal clears what isn't in use."""
        self.driver.list_runner(build_published_runner("b3", "bookings"))
        paused_id = self.pause_first_runner()
        other_id, *_ = sorted({"b1", "b2", "b3"} - {paused_id})
        for is_out in (True, False):
            self.driver.handle(
                EvacuationPublished(Version.of(0, 90), DataCentreName("a"), is_out)
            )
            if is_out:
                self.driver.unlist_runner(other_id)
        self.assertNotIn(paused_id, self.call_repeatedly(PAUSE_MS - 100))


if __name__ == "__main__":
    unittest.main()
