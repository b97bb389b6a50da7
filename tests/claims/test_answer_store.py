"""Bounds on what is kept for callers that repeat a key."""

import unittest

from benchmarks.claim_cell import TEAM, build_key
from figshunt.claims import AnswerStore, LedgerKey
from figshunt.types import Fingerprint, ManualClock, RequestId

KEYS: list[LedgerKey] = [(TEAM, build_key(0, number)) for number in range(4)]
WINDOW_MS = 600_000


class AnswerStoreTest(unittest.TestCase):
    """A store with room for three answers of about 1 KB."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = AnswerStore(most_bytes=3 * 1024 + 900)

    def keep(self, key: LedgerKey, size: int) -> None:
        now = self.clock.now()
        self.store.begin(key, RequestId("1"), Fingerprint("1"), now)
        self.store.append(key, b"x" * size)

    def kept(self) -> list[LedgerKey]:
        return [key for key in KEYS if self.store.get(key, self.clock.now())]

    def test_oldest_goes_first(self) -> None:
        """Guards against memory that grows with the number of bookings."""
        for key in KEYS[:3]:
            self.keep(key, 300)
        self.assertEqual(self.kept(), KEYS[:3])
        self.keep(KEYS[3], 100)
        self.assertEqual(self.kept(), KEYS[1:])
        self.keep(KEYS[3], 700)
        self.assertEqual(self.kept(), KEYS[2:])
        self.assertLessEqual(self.store.kept_bytes, 3 * 1024 + 900)

    def test_answer_is_forgotten_after_the_window(self) -> None:
        self.keep(KEYS[0], 1)
        self.clock.advance(WINDOW_MS - 1)
        self.assertEqual(self.kept(), KEYS[:1])
        self.clock.advance(1)
        self.assertEqual((self.kept(), self.store.kept_bytes), ([], 0))

    def test_large_answer_is_not_kept(self) -> None:
        """Guards against an answer that fills the queue to a peer."""
        store = AnswerStore()
        store.begin(KEYS[0], RequestId("1"), Fingerprint("1"), self.clock.now())
        store.append(KEYS[0], b"x" * 1024 * 1024)
        self.assertIsNotNone(store.get(KEYS[0], self.clock.now()))
        store.append(KEYS[0], b"x")
        self.assertIsNone(store.get(KEYS[0], self.clock.now()))
        self.assertEqual(store.kept_bytes, 0)
