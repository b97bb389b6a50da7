"""A local copy of the published items, ordered by store revision."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class PublishedItem:
    """One published item; ``value`` is ``None`` if it was deleted."""

    key: str
    revision: int
    value: bytes | None = field(repr=False)


class ItemReplica:
    """Keeps the newest known revision of each item from any source.

    Items arrive from the store and from peers in any order. An item replaces
    only an older revision of itself, except that a deletion also replaces the
    same revision. ``revision`` is the one up to which the copy is complete, so an
    unknown item that isn't newer has been deleted since. At most ``max_deleted``
    deleted items are kept as tombstones; those with the lowest revisions are dropped
    first.
    """

    def __init__(self, max_deleted: int = 4096) -> None:
        self._items_by_key: dict[str, PublishedItem] = {}
        self._max_deleted = max_deleted
        self.revision = 0

    def items(self) -> Mapping[str, PublishedItem]:
        """Return the items by key, including deleted ones."""
        return self._items_by_key

    def merge(
        self, items: Iterable[PublishedItem], revision: int
    ) -> list[PublishedItem]:
        """Apply newer items and return those that changed, in order.

        :param revision: the store revision up to which the source has sent all
            items.
        """
        changed_items = [item for item in items if self._apply(item)]
        self.revision = max(self.revision, revision)
        self._drop_old_tombstones()
        return changed_items

    def replace(
        self, items: Iterable[PublishedItem], first_revision: int
    ) -> list[PublishedItem]:
        """Apply a full listing and delete the items that it does not contain.

        :param first_revision: the store revision at the start of the listing. An
            item with a newer revision is kept even if it is not listed.
        """
        listed_items = list(items)
        keys = {item.key for item in listed_items}
        missing_items = [
            PublishedItem(item.key, first_revision, None)
            for item in self._items_by_key.values()
            if item.value is not None
            and item.key not in keys
            and item.revision <= first_revision
        ]
        return self.merge([*listed_items, *missing_items], first_revision)

    def _apply(self, item: PublishedItem) -> bool:
        previous = self._items_by_key.get(item.key)
        if previous is not None and previous.revision >= item.revision:
            is_deletion = item.value is None and previous.value is not None
            if not (is_deletion and previous.revision == item.revision):
                return False
        if previous is None and (item.value is None or item.revision <= self.revision):
            return False
        self._items_by_key[item.key] = item
        return True

    def _drop_old_tombstones(self) -> None:
        tombstones = [
            item for item in self._items_by_key.values() if item.value is None
        ]
        excess = len(tombstones) - self._max_deleted
        if excess > 0:
            for item in sorted(tombstones, key=lambda item: item.revision)[:excess]:
                del self._items_by_key[item.key]
