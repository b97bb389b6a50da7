"""Refusals at once, and the wave of callers that return after them."""

import unittest

from benchmarks.virtual_plain import PlainFleet
from figshunt.dispatch import (
    AnswerError,
    HeldNotice,
    OccupancyNotice,
    PeerStatusReceived,
    RejectionNotice,
    ReplyComplete,
    ReplyVerdict,
    StartCallAttempt,
)
from figshunt.types import PoolName, RunnerId
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

ROUTE = build_run_once_route(target_ms=400, timeout_ms=3_000)
SLOTS = 4
WORK_MS = 100

# Before the pauses followed the drain of the queue, 0.48 of the callers that returned
# after this burst were served.
MIN_SERVED_RETURNS = 0.65


class ReturnWaveTest(unittest.TestCase):
    """Guards against returning callers that are refused again."""

    def test_callers_refused_in_a_burst_are_served_when_they_return(self) -> None:
        served = returned = 0
        for seed in (1, 2):
            fleet = PlainFleet(30, ROUTE, seed=seed)
            fleet.run(12_000)
            fleet.send_calls("/book/1", 300, 1_000)
            fleet.send_calls("/book/1", 30, 6_000)
            fleet.run(10_000)
            returns = [call for call in fleet.calls if not call.may_return]
            returned += len(returns)
            served += sum(call.is_served for call in returns)
        self.assertGreaterEqual(served, MIN_SERVED_RETURNS * returned)


class RefusalTest(unittest.TestCase):
    """Guards against calls that wait in vain, and refusals beside free places."""

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner("b1", "bookings", slots=SLOTS),
            configuration=build_configuration(ROUTE),
        )
        self.driver.call(build_call("r0", "/book/1"))
        self.driver.clock.advance(WORK_MS)
        attempt_id = self.driver.last_attempt().attempt_id
        self.driver.handle(ReplyComplete(attempt_id, build_reply_head(), b""))
        self.driver.effects.clear()

    def tell(self, requests: int, held: int) -> None:
        """Tell from a peer what it has in flight and what it holds."""
        status = build_host_status(
            rejections=(RejectionNotice(RunnerId("b1")),),
            occupancies=(OccupancyNotice(RunnerId("b1"), 0, requests, 0),),
            held=(HeldNotice(PoolName("bookings"), 0, held),),
        )
        self.driver.handle(PeerStatusReceived(status))

    def refusal_of_next_call(self) -> AnswerError | None:
        self.driver.call(build_call("r1", "/book/1"))
        return next(iter(self.driver.effects_of(AnswerError)), None)

    def test_call_that_would_wait_in_vain_is_refused_at_once(self) -> None:
        self.tell(SLOTS, 30)
        error = self.refusal_of_next_call()
        assert error is not None and error.retry_after_ms is not None
        self.assertEqual(503, error.status)
        self.assertGreater(error.retry_after_ms, 30 * WORK_MS / SLOTS * 0.8)

    def test_call_that_a_runner_rejected_is_held_on(self) -> None:
        """Guards against a 503 soon after a rejection, with time left."""
        self.assertIsNone(self.refusal_of_next_call())
        self.tell(SLOTS, 30)
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        attempt_id = self.driver.last_attempt().attempt_id
        self.driver.handle(ReplyComplete(attempt_id, head, b""))
        self.driver.advance(100)
        self.assertEqual([], self.driver.effects_of(AnswerError))

    def test_call_that_gets_a_place_in_time_is_held(self) -> None:
        self.tell(SLOTS, 5)
        self.assertIsNone(self.refusal_of_next_call())

    def test_no_call_is_refused_while_a_place_is_free(self) -> None:
        self.tell(SLOTS - 1, 1_000)
        self.assertIsNone(self.refusal_of_next_call())
        self.assertEqual(1, len(self.driver.effects_of(StartCallAttempt)))

    def test_calls_held_by_a_lost_host_do_not_count_for_long(self) -> None:
        self.tell(SLOTS, 30)
        self.driver.clock.advance(1_100)
        self.assertIsNone(self.refusal_of_next_call())


if __name__ == "__main__":
    unittest.main()
