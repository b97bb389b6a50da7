"""Size and age limits of the answer store."""

import unittest

from benchmarks.claim_cell import TEAM, build_key
from figshunt.claims import AnswerStore, LedgerKey
from figshunt.types import Fingerprint, ManualClock, RequestId

KEYS: list[LedgerKey] = [(TEAM, build_key(0, number)) for number in range(4)]
WINDOW_MS = 600_000


class AnswerStoreTest(unittest.TestCase):
    """A store that holds at most three answers of about 1 KB."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.store = AnswerStore(max_bytes=3 * 1024 + 900)

    def store_answer(self, key: LedgerKey, size: int) -> None:
        now = self.clock.now()
        self.store.start_answer(key, RequestId("1"), Fingerprint("1"), now)
        self.store.append(key, b"x" * size)

    def stored_keys(self) -> list[LedgerKey]:
        return [key for key in KEYS if self.store.get(key, self.clock.now())]

    def test_oldest_answer_is_evicted_first(self) -> None:
        """Without eviction, memory would grow with the number of keyed requests."""
        for key in KEYS[:3]:
            self.store_answer(key, 300)
        self.assertEqual(self.stored_keys(), KEYS[:3])
        self.store_answer(KEYS[3], 100)
        self.assertEqual(self.stored_keys(), KEYS[1:])
        self.store_answer(KEYS[3], 700)
        self.assertEqual(self.stored_keys(), KEYS[2:])
        self.assertLessEqual(self.store.stored_bytes, 3 * 1024 + 900)

    def test_answer_expires_after_the_window(self) -> None:
        self.store_answer(KEYS[0], 1)
        self.clock.advance(WINDOW_MS - 1)
        self.assertEqual(self.stored_keys(), KEYS[:1])
        self.clock.advance(1)
        self.assertEqual((self.stored_keys(), self.store.stored_bytes), ([], 0))

    def test_oversized_answer_is_not_stored(self) -> None:
        """Guards against an answer so large that it fills the send queue to a peer."""
        store = AnswerStore()
        store.start_answer(KEYS[0], RequestId("1"), Fingerprint("1"), self.clock.now())
        store.append(KEYS[0], b"x" * 1024 * 1024)
        self.assertIsNotNone(store.get(KEYS[0], self.clock.now()))
        store.append(KEYS[0], b"x")
        self.assertIsNone(store.get(KEYS[0], self.clock.now()))
        self.assertEqual(store.stored_bytes, 0)
