"""What a runner is believed to have to read still, and what corrects it."""

import unittest

from figshunt.dispatch._prefill_queue import PREFILL_PAUSE_MS, PrefillQueue
from figshunt.types import AttemptId


class ReadingQueueTest(unittest.TestCase):
    """Guards against a queue of prompts that is longer than believed."""

    def setUp(self) -> None:
        self.queue = PrefillQueue()
        self.queue.add(0, 0, AttemptId("first"))
        self.queue.add(100, 0, AttemptId("second"))

    def test_late_first_event_moves_what_was_sent_later(self) -> None:
        self.assertTrue(self.queue.observe_first_event(AttemptId("first"), 400))
        self.assertEqual(100, self.queue.backlog_ms(400))

    def test_early_first_event_changes_nothing(self) -> None:
        self.assertFalse(self.queue.observe_first_event(AttemptId("second"), 10))
        self.assertEqual(90, self.queue.backlog_ms(10))

    def test_unknown_send_changes_nothing(self) -> None:
        self.assertFalse(self.queue.observe_first_event(AttemptId("other"), 400))
        self.assertTrue(self.queue.observe_first_event(AttemptId("first"), 400))

    def test_peer_tells_a_longer_queue(self) -> None:
        self.assertTrue(self.queue.raise_backlog(500, 10))
        self.assertEqual(500, self.queue.backlog_ms(10))

    def test_peer_tells_a_shorter_queue(self) -> None:
        self.assertFalse(self.queue.raise_backlog(20, 10))
        self.assertEqual(90, self.queue.backlog_ms(10))


class BusyPeriodTest(unittest.TestCase):
    """Guards against prompts that follow each other without a pause.

    Each alone stalls the streams beside it for a short time only.
    """

    def setUp(self) -> None:
        self.queue = PrefillQueue()
        self.queue.add(70, 0)

    def test_reading_that_goes_on_adds_up(self) -> None:
        self.queue.add(70, 60)
        self.assertEqual(140, self.queue.busy_ms(60))

    def test_pause_ends_a_busy_period(self) -> None:
        self.assertEqual(0, self.queue.busy_ms(70 + PREFILL_PAUSE_MS + 1))
