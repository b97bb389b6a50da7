"""Merging of published items that arrive out of order."""

import random
import unittest

from figshunt.directory import ItemReplica, PublishedItem


def item(key: str, revision: int, value: bytes | None = b"v") -> PublishedItem:
    return PublishedItem(key, revision, value)


class ItemReplicaTest(unittest.TestCase):
    """An older read that arrives late must not replace or restore an item."""

    def test_older_revision_is_dropped(self) -> None:
        replica = ItemReplica()
        replica.merge([item("a", 5, b"new")], 5)
        self.assertEqual([], replica.merge([item("a", 4, b"old")], 4))
        self.assertEqual(b"new", replica.items()["a"].value)
        self.assertEqual(5, replica.revision)

    def test_older_revision_does_not_restore_deleted_item(self) -> None:
        replica = ItemReplica()
        replica.merge([item("a", 5)], 5)
        replica.merge([item("a", 7, None)], 7)
        self.assertEqual([], replica.merge([item("a", 5)], 7))
        self.assertIsNone(replica.items()["a"].value)

    def test_listing_deletes_items_it_does_not_contain(self) -> None:
        replica = ItemReplica()
        replica.merge([item("a", 5), item("b", 6)], 6)
        (changed,) = replica.replace([item("b", 6)], 9)
        self.assertEqual(("a", None), (changed.key, changed.value))

    def test_listing_keeps_newer_items(self) -> None:
        replica = ItemReplica()
        replica.merge([item("a", 12)], 12)
        self.assertEqual([], replica.replace([], 9))

    def test_listing_that_arrives_late_does_not_restore_a_deleted_item(self) -> None:
        """A host that starts may get a peer's newer copy during its first listing."""
        replica = ItemReplica()
        replica.replace([item("b", 6)], 9)
        self.assertEqual([], replica.replace([item("a", 3), item("b", 6)], 5))
        self.assertEqual(["b"], list(replica.items()))
        self.assertEqual(9, replica.revision)

    def test_result_is_independent_of_arrival_order(self) -> None:
        history = [
            item("a", n, None if n % 5 == 0 else b"%d" % n) for n in range(1, 40)
        ]
        for seed in range(50):
            with self.subTest(seed=seed):
                replica = ItemReplica()
                shuffled = random.Random(seed).sample(history, len(history))
                for published in shuffled:
                    replica.merge([published], published.revision)
                self.assertEqual(b"39", replica.items()["a"].value)

    def test_number_of_deleted_items_is_limited(self) -> None:
        replica = ItemReplica(max_deleted=3)
        for number in range(10):
            replica.merge([item(str(number), 2 * number + 1)], 0)
            replica.merge([item(str(number), 2 * number + 2, None)], 0)
        self.assertEqual(3, len(replica.items()))


if __name__ == "__main__":
    unittest.main()
