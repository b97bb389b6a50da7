"""Merging of published items that arrive out of order."""

import random
import unittest

from figshunt.directory import ItemReplica
from figshunt.types import Version
from tests.builders import build_item


class ItemReplicaTest(unittest.TestCase):
    """An older read that arrives late must not replace or restore an item."""

    def test_older_revision_is_dropped(self) -> None:
        replica = ItemReplica()
        replica.merge([build_item("a", 5, b"new")], Version.of(0, 5))
        self.assertEqual(
            [], replica.merge([build_item("a", 4, b"old")], Version.of(0, 4))
        )
        self.assertEqual(b"new", replica.items()["a"].value)
        self.assertEqual(Version.of(0, 5), replica.version)

    def test_older_revision_does_not_restore_deleted_item(self) -> None:
        replica = ItemReplica()
        replica.merge([build_item("a", 5)], Version.of(0, 5))
        replica.merge([build_item("a", 7, None)], Version.of(0, 7))
        self.assertEqual([], replica.merge([build_item("a", 5)], Version.of(0, 7)))
        self.assertIsNone(replica.items()["a"].value)

    def test_listing_deletes_items_it_does_not_contain(self) -> None:
        replica = ItemReplica()
        replica.merge([build_item("a", 5), build_item("b", 6)], Version.of(0, 6))
        (changed,) = replica.replace([build_item("b", 6)], Version.of(0, 9))
        self.assertEqual(("a", None), (changed.key, changed.value))

    def test_listing_keeps_newer_items(self) -> None:
        replica = ItemReplica()
        replica.merge([build_item("a", 12)], Version.of(0, 12))
        self.assertEqual([], replica.replace([], Version.of(0, 9)))

    def test_listing_that_arrives_late_does_not_restore_a_deleted_item(self) -> None:
        """A host that starts may get a peer's newer copy during its first listing."""
        replica = ItemReplica()
        replica.replace([build_item("b", 6)], Version.of(0, 9))
        self.assertEqual(
            [],
            replica.replace([build_item("a", 3), build_item("b", 6)], Version.of(0, 5)),
        )
        self.assertEqual(["b"], list(replica.items()))
        self.assertEqual(Version.of(0, 9), replica.version)

    def test_result_is_independent_of_arrival_order(self) -> None:
        history = [
            build_item("a", n, None if n % 5 == 0 else b"%d" % n) for n in range(1, 40)
        ]
        for seed in range(50):
            with self.subTest(seed=seed):
                replica = ItemReplica()
                shuffled = random.Random(seed).sample(history, len(history))
                for published in shuffled:
                    replica.merge([published], published.version)
                self.assertEqual(b"39", replica.items()["a"].value)

    def test_late_answers_of_an_older_era_change_nothing(self) -> None:
        replica = ItemReplica()
        replica.replace([build_item("a", 5), build_item("b", 6)], Version.of(0, 9))
        replica.replace([build_item("a", 3, era=1)], Version.of(1, 4))
        items = dict(replica.items())
        self.assertTrue(items["b"].may_be_copied)
        replica.replace([build_item("c", 20)], Version.of(0, 20))
        replica.merge([build_item("b", 21)], Version.of(0, 21))
        self.assertEqual((items, Version.of(1, 4)), (replica.items(), replica.version))

    def test_older_copy_of_a_peer_does_not_undo_a_deletion(self) -> None:
        """The item was deleted between the peer's listing and the own first one."""
        replica = ItemReplica()
        replica.replace([build_item("b", 850, era=1)], Version.of(1, 1_200))
        replica.replace([], Version.of(2, 1_000))
        replica.replace([build_item("b", 905, era=2)], Version.of(2, 910))
        self.assertIsNone(replica.items()["b"].value)

    def test_tombstone_of_a_peer_deletes_an_item_of_the_copy(self) -> None:
        """The peer's first listing of this era lacked the item, the own one did not."""
        peer, replica = ItemReplica(), ItemReplica()
        for each in (peer, replica):
            each.replace([build_item("b", 850, era=1)], Version.of(1, 1_200))
        replica.replace([build_item("b", 905, era=2)], Version.of(2, 910))
        peer.replace([], Version.of(2, 1_000))
        replica.merge(list(peer.items().values()), peer.version)
        self.assertIsNone(replica.items()["b"].value)
        self.assertFalse(replica.items()["b"].may_be_copied)

    def test_writes_before_a_late_listing_are_told_from_the_copy(self) -> None:
        """Guards against writes of a new era that are taken for those of the copy.

        They come before this host's first listing of the era, and their revisions
        were issued in the era before as well.
        """
        for key, revision, may_be_copied in (
            ("a", 60, True),
            ("a", 61, False),
            ("deleted", 70, True),
            ("deleted", 71, False),
            ("unknown", 50, True),
            ("unknown", 51, False),
            ("unknown", 95, False),
        ):
            with self.subTest(key=key, revision=revision):
                replica = ItemReplica()
                replica.replace(
                    [build_item("a", 40), build_item("deleted", 41)], Version.of(0, 50)
                )
                changes = [build_item("a", 60), build_item("deleted", 70, None)]
                replica.merge(changes, Version.of(0, 99))
                listed = [build_item(key, revision, era=1)]
                replica.replace(listed, Version.of(1, 80))
                self.assertIs(may_be_copied, replica.items()[key].may_be_copied)

    def test_copy_may_be_of_any_earlier_era(self) -> None:
        replica = ItemReplica()
        replica.replace([build_item("a", 60)], Version.of(0, 70))
        replica.replace([build_item("a", 40, era=1)], Version.of(1, 45))
        replica.replace(
            [build_item("a", 50, era=2), build_item("b", 55, era=2)], Version.of(2, 56)
        )
        self.assertTrue(replica.items()["a"].may_be_copied)
        self.assertTrue(replica.items()["b"].may_be_copied)

    def test_number_of_deleted_items_is_limited(self) -> None:
        replica = ItemReplica(max_deleted=3)
        for number in range(10):
            replica.merge([build_item(str(number), 2 * number + 1)], Version.of(0, 0))
            replica.merge(
                [build_item(str(number), 2 * number + 2, None)], Version.of(0, 0)
            )
        self.assertEqual(3, len(replica.items()))


if __name__ == "__main__":
    unittest.main()
