"""A local copy of the published items, ordered by era and revision."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from figshunt.types import NO_VERSION, StoreRevision, Version


@dataclass(frozen=True, slots=True)
class PublishedItem:
    """One published item; ``value`` is ``None`` if it was deleted.

    ``may_be_copied`` is set if the store was restored from a copy, and the item may
    be as old as the copy: its value may have been superseded before the restore, or
    the copy may lack it. ``version`` of a missing item is that of the listing, which
    orders it among other reads.
    """

    key: str
    version: Version
    value: bytes | None = field(repr=False)
    may_be_copied: bool = False


class ItemReplica:
    """Keeps the newest known version of each item from any source.

    Items arrive from the store and from peers in any order. An item replaces
    only an older version of itself, except that a deletion also replaces the
    same version. ``version`` is the one up to which the copy is complete, so an
    unknown item that isn't newer has been deleted since. At most ``max_deleted``
    deleted items are kept as tombstones; those with the lowest versions are dropped
    first.

    Only a full listing begins a new era of the store, which issues the revisions
    after its copy a second time. An item in it may come from the copy only if its key
    was written at that revision in an earlier era. The host has read each change of
    the key since it first listed it, so that a higher revision than the last one of
    the key is a write of the new era, or of an older one that the host hadn't read.
    """

    def __init__(self, max_deleted: int = 4096) -> None:
        self._items_by_key: dict[str, PublishedItem] = {}
        self._max_deleted = max_deleted
        self._listed_revision = NO_VERSION.revision
        # What was known of earlier eras: the last revision of each key, and the last
        # full listing, before which other keys may have been written and deleted.
        self._earlier_revisions_by_key: dict[str, StoreRevision] = {}
        self._earlier_listed_revision = NO_VERSION.revision
        self.version = NO_VERSION

    def items(self) -> Mapping[str, PublishedItem]:
        """Return the items by key, including deleted ones."""
        return self._items_by_key

    def merge(
        self, items: Iterable[PublishedItem], version: Version
    ) -> list[PublishedItem]:
        """Apply newer items and return those that changed, in order.

        Changes in another era than that of the copy are not applied: those of an
        older one come late, and those of a newer one don't make the copy complete.

        :param version: the store version up to which the source has sent all items.
        """
        if version.era != self.version.era:
            return []
        changed_items = [
            applied for item in items if (applied := self._apply(item)) is not None
        ]
        self.version = max(self.version, version)
        self._drop_old_tombstones()
        return changed_items

    def replace(
        self, items: Iterable[PublishedItem], first_version: Version
    ) -> list[PublishedItem]:
        """Apply a full listing and delete the items that it does not contain.

        An item that isn't in the first listing of an era isn't known to have been
        deleted: the copy may lack it.

        :param first_version: the store version at the start of the listing. An
            item with a newer version is kept even if it is not listed.
        """
        era = first_version.era
        if era < self.version.era:
            return []
        listed_items = list(items)
        keys = {item.key for item in listed_items}
        missing_items = [
            PublishedItem(
                item.key, first_version, None, may_be_copied=item.version.era != era
            )
            for item in self._items_by_key.values()
            if item.value is not None
            and item.key not in keys
            and item.version <= first_version
        ]
        if era > self.version.era:
            self._begin_era(Version.of(era, 0))
            listed_items = [
                self._compare_with_earlier_eras(item, first_version)
                for item in listed_items
            ]
        self._listed_revision = max(self._listed_revision, first_version.revision)
        return self.merge([*listed_items, *missing_items], first_version)

    def _begin_era(self, version: Version) -> None:
        """Record what is known of the eras before, as a copy may be of any of them."""
        self._earlier_revisions_by_key = {
            key: max(
                item.version.revision,
                self._earlier_revisions_by_key.get(key, NO_VERSION.revision),
            )
            for key, item in self._items_by_key.items()
        }
        self._earlier_listed_revision = max(
            self._earlier_listed_revision, self._listed_revision
        )
        self._listed_revision = NO_VERSION.revision
        self.version = version

    def _compare_with_earlier_eras(
        self, item: PublishedItem, first_version: Version
    ) -> PublishedItem:
        """Return an item of the first listing of an era with ``may_be_copied`` set."""
        if item.value is None or item.version > first_version:
            return item
        earlier_revision = self._earlier_revisions_by_key.get(
            item.key, self._earlier_listed_revision
        )
        is_known = item.version.revision <= earlier_revision
        return replace(item, may_be_copied=is_known)

    def _apply(self, item: PublishedItem) -> PublishedItem | None:
        """Return the item as applied, or ``None`` if it isn't newer."""
        previous = self._items_by_key.get(item.key)
        if previous is not None and previous.version >= item.version:
            is_deletion = item.value is None and previous.value is not None
            if not (is_deletion and previous.version == item.version):
                return None
        if previous is None and (item.value is None or item.version <= self.version):
            return None
        if (
            item.may_be_copied
            and previous is not None
            and previous.version.era == item.version.era
        ):
            # The copy had it: this host has read it in this era.
            item = replace(item, may_be_copied=False)
        self._items_by_key[item.key] = item
        return item

    def _drop_old_tombstones(self) -> None:
        tombstones = [
            item for item in self._items_by_key.values() if item.value is None
        ]
        excess = len(tombstones) - self._max_deleted
        if excess > 0:
            for item in sorted(tombstones, key=lambda item: item.version)[:excess]:
                del self._items_by_key[item.key]
