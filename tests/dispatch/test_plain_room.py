"""Plain services that turn away what exceeds their slots."""

import unittest
from unittest import mock

from benchmarks.virtual_plain import PlainFleet
from figshunt.dispatch import (
    AnswerError,
    BroadcastStatus,
    CallAbandoned,
    OccupancyNotice,
    PeerStatusReceived,
    RejectionNotice,
    ReplyComplete,
    ReplyVerdict,
    RunnerLoad,
    StartCallAttempt,
)
from figshunt.dispatch.attempt._shared_budget import SharedRetryBudget
from figshunt.types import RequestId, RunnerId
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

ROUTE = build_run_once_route(target_ms=415, timeout_ms=3_100)
SLOTS = 2

# Before the hosts kept the slots, 0.13 of the calls were handed back with these bursts.
MAX_HANDED_BACK_SHARE = 0.08


def run_bursts(loss: float) -> PlainFleet:
    """Return a fleet after bursts that exceed the slots for a moment."""
    fleet = PlainFleet(30, ROUTE)
    fleet.loss = loss
    fleet.run(12_000)
    fleet.send_calls("/book/1", 56, 6_000)
    for delay_ms in range(0, 6_000, 1_000):
        fleet.schedule(delay_ms, lambda: fleet.send_calls("/book/1", 250, 150))
    fleet.run(9_000)
    return fleet


class PlainBurstTest(unittest.TestCase):
    """Guards against calls handed back while other runners have or soon get room."""

    def test_calls_turned_away_in_bursts_are_kept(self) -> None:
        for loss in (0.0, 0.3):
            with self.subTest(loss=loss):
                calls = run_bursts(loss).calls
                first_calls = [call for call in calls if call.may_return]
                handed_back = sum(not call.is_served for call in first_calls)
                max_share = MAX_HANDED_BACK_SHARE * (1 + loss)
                self.assertLessEqual(handed_back, max_share * len(first_calls))
                self.assertLessEqual(max(call.runs for call in calls), 1)
                self.assertNotIn(None, [call.ended_ms for call in calls])


class PlainRoomTest(unittest.TestCase):
    """Guards against calls to full runners, and against calls held without need."""

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner("b1", "bookings", slots=SLOTS),
            build_published_runner("b2", "bookings", slots=SLOTS),
            configuration=build_configuration(ROUTE),
        )
        self.call_count = 0

    def tell_rejection(self) -> None:
        notice = RejectionNotice(RunnerId("b1"))
        self.driver.handle(PeerStatusReceived(build_host_status(rejections=(notice,))))

    def tell(self, runner_id: str, requests: int) -> None:
        notice = OccupancyNotice(RunnerId(runner_id), 0, requests, 0)
        self.driver.handle(PeerStatusReceived(build_host_status(occupancies=(notice,))))

    def send(self) -> int:
        """Send a call and return how many have been passed on."""
        self.call_count += 1
        self.driver.call(build_call(f"r{self.call_count}", "/book/1"))
        return len(self.driver.effects_of(StartCallAttempt))

    def refuse(self) -> None:
        head = build_reply_head(503, verdict=ReplyVerdict.REFUSED, has_receipt=False)
        attempt_id = self.driver.last_attempt().attempt_id
        self.driver.handle(ReplyComplete(attempt_id, head, b""))

    def test_service_that_turns_nothing_away_gets_all_calls_at_once(self) -> None:
        self.tell("b1", SLOTS)
        self.assertEqual(9, [self.send() for _ in range(9)][-1])
        self.assertEqual([], self.driver.effects_of(BroadcastStatus))

    def test_full_runner_gets_no_call_while_another_is_free(self) -> None:
        self.driver.list_runner(build_published_runner("b3", "bookings", slots=40))
        self.send()
        head = build_reply_head(load=RunnerLoad(1, 0, SLOTS))
        self.driver.handle(
            ReplyComplete(self.driver.last_attempt().attempt_id, head, b"")
        )
        self.tell("b1", SLOTS)
        self.tell("b2", SLOTS)
        for _ in range(30):
            self.send()
            self.assertEqual("b3", self.driver.last_attempt().runner_id)

    def test_slots_that_all_hosts_use_are_kept_once_a_call_is_turned_away(self) -> None:
        self.tell_rejection()
        self.tell("b1", SLOTS - 1)
        self.assertEqual(2 * SLOTS - 1, [self.send() for _ in range(9)][-1])
        self.tell("b1", 0)
        self.driver.advance(25)
        self.assertEqual(2 * SLOTS, len(self.driver.effects_of(StartCallAttempt)))
        last = self.driver.effects_of(BroadcastStatus)[-1]
        self.assertTrue(last.is_urgent)

    def test_caller_that_leaves_frees_its_place_at_once(self) -> None:
        self.tell_rejection()
        for _ in range(2 * SLOTS + 2):
            self.send()
        self.driver.handle(CallAbandoned(RequestId("r5")))
        self.driver.handle(CallAbandoned(RequestId("r1")))
        sent = [
            start.call.call_id for start in self.driver.effects_of(StartCallAttempt)
        ]
        self.assertEqual("r6", sent[-1])

    def test_call_turned_away_waits_for_the_budget(self) -> None:
        self.send()
        with mock.patch.object(SharedRetryBudget, "take", return_value=False):
            self.refuse()
            self.driver.advance(100)
            self.assertEqual(1, len(self.driver.effects_of(StartCallAttempt)))
            self.assertEqual([], self.driver.effects_of(AnswerError))
        self.driver.advance(100)
        first, second = self.driver.effects_of(StartCallAttempt)
        self.assertNotEqual(first.runner_id, second.runner_id)

    def test_call_is_answered_as_not_run_if_its_time_ends_first(self) -> None:
        self.send()
        with mock.patch.object(SharedRetryBudget, "take", return_value=False):
            self.refuse()
            self.driver.advance(ROUTE.timeout_ms // 5 + 1)
        (error,) = self.driver.effects_of(AnswerError)
        self.assertEqual(503, error.status)
        self.assertEqual(1, len(self.driver.effects_of(StartCallAttempt)))

    def test_lost_notice_of_an_end_keeps_a_slot_only_for_a_moment(self) -> None:
        self.tell_rejection()
        self.tell("b1", SLOTS)
        self.tell("b2", SLOTS)
        for _ in range(8):
            self.driver.advance(200)
        self.assertEqual(1, self.send())


if __name__ == "__main__":
    unittest.main()
