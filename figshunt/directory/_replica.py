"""A copy of the published items that never goes back in time."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Item:
    """One published item; ``value`` is ``None`` once it was deleted."""

    key: str
    revision: int
    value: bytes | None = field(repr=False)


class ItemReplica:
    """Keeps the newest known revision of each item, whatever the source.

    Items arrive from the store and from peers in any order; an item replaces
    only an older revision of itself. Deleted items are remembered by their
    revision, at most ``most_deleted`` of them, the oldest forgotten first.
    """

    def __init__(self, max_deleted: int = 4096) -> None:
        self._items_by_key: dict[str, Item] = {}
        self._most_deleted = max_deleted
        self.revision = 0

    def items(self) -> Mapping[str, Item]:
        """Return the items by key, the deleted ones included."""
        return self._items_by_key

    def merge(self, items: Iterable[Item], revision: int) -> list[Item]:
        """Take over newer items; return those that changed, in order.

        :param revision: the store's revision up to which the source has told
            everything.
        """
        changed = [item for item in items if self._apply(item)]
        self.revision = max(self.revision, revision)
        self._forget_deleted()
        return changed

    def replace(self, items: Iterable[Item], first_revision: int) -> list[Item]:
        """Take over a whole listing; what it lacks counts as deleted.

        :param first_revision: the store's revision when the listing began; an
            item that is newer than that isn't deleted by its absence.
        """
        listed = list(items)
        keys = {item.key for item in listed}
        missing = [
            Item(item.key, first_revision, None)
            for item in self._items_by_key.values()
            if item.value is not None
            and item.key not in keys
            and item.revision <= first_revision
        ]
        return self.merge([*listed, *missing], first_revision)

    def _apply(self, item: Item) -> bool:
        previous = self._items_by_key.get(item.key)
        if previous is not None and previous.revision >= item.revision:
            is_deletion = item.value is None and previous.value is not None
            if not (is_deletion and previous.revision == item.revision):
                return False
        if previous is None and item.value is None:
            return False
        self._items_by_key[item.key] = item
        return True

    def _forget_deleted(self) -> None:
        deleted = [one for one in self._items_by_key.values() if one.value is None]
        excess = len(deleted) - self._most_deleted
        if excess > 0:
            for item in sorted(deleted, key=lambda one: one.revision)[:excess]:
                del self._items_by_key[item.key]
