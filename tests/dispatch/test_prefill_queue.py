"""The estimated prefill queue of a runner and its correction."""

import unittest

from figshunt.dispatch.fleet._prefill_queue import PREFILL_PAUSE_MS, PrefillQueue
from figshunt.types import AttemptId


class PrefillQueueTest(unittest.TestCase):
    """Guards against a prefill queue that stays underestimated.

    A late first event or a report of a peer shows that it is longer.
    """

    def setUp(self) -> None:
        self.queue = PrefillQueue()
        self.queue.add(0, 0, AttemptId("first"))
        self.queue.add(100, 0, AttemptId("second"))

    def test_late_first_event_delays_later_prompts(self) -> None:
        self.assertTrue(self.queue.observe_first_event(AttemptId("first"), 400))
        self.assertEqual(100, self.queue.backlog_ms(400))

    def test_early_first_event_changes_nothing(self) -> None:
        self.assertFalse(self.queue.observe_first_event(AttemptId("second"), 10))
        self.assertEqual(90, self.queue.backlog_ms(10))

    def test_unknown_attempt_changes_nothing(self) -> None:
        self.assertFalse(self.queue.observe_first_event(AttemptId("other"), 400))
        self.assertTrue(self.queue.observe_first_event(AttemptId("first"), 400))

    def test_longer_backlog_of_a_peer_is_adopted(self) -> None:
        self.assertTrue(self.queue.raise_backlog(500, 10))
        self.assertEqual(500, self.queue.backlog_ms(10))

    def test_shorter_backlog_of_a_peer_is_ignored(self) -> None:
        self.assertFalse(self.queue.raise_backlog(20, 10))
        self.assertEqual(90, self.queue.backlog_ms(10))


class BusyPeriodTest(unittest.TestCase):
    """Consecutive prompts without a pause must count as one long stall.

    Each of them alone stalls the other streams for a short time only.
    """

    def setUp(self) -> None:
        self.queue = PrefillQueue()
        self.queue.add(70, 0)

    def test_prefill_without_a_pause_adds_up(self) -> None:
        self.queue.add(70, 60)
        self.assertEqual(140, self.queue.busy_ms(60))

    def test_pause_ends_busy_period(self) -> None:
        self.assertEqual(0, self.queue.busy_ms(70 + PREFILL_PAUSE_MS + 1))
