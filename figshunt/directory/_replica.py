"""A local copy of the published items, ordered by era and revision."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from figshunt.types import NO_VERSION, StoreEra, StoreRevision, Version


@dataclass(frozen=True, slots=True)
class PublishedItem:
    """One published item; ``value`` is ``None`` if it was deleted.

    ``is_uncopied`` is set if it is missing from the first listing of an era, and the
    copy from which the store was restored may lack it. ``version`` is then that of
    the listing, which orders it among other reads.
    """

    key: str
    version: Version
    value: bytes | None = field(repr=False)
    is_uncopied: bool = False

    @property
    def write_version(self) -> Version:
        """Return the version of its write, or revision 0 of the era if unknown."""
        return Version.of(self.version.era, 0) if self.is_uncopied else self.version


class ItemReplica:
    """Keeps the newest known version of each item from any source.

    Items arrive from the store and from peers in any order. An item replaces
    only an older version of itself, except that a deletion also replaces the
    same version. ``version`` is the one up to which the copy is complete, so an
    unknown item that isn't newer has been deleted since. At most ``max_deleted``
    deleted items are kept as tombstones; those with the lowest versions are dropped
    first.

    Only a full listing begins a new era of the store. In it, an item of at most
    ``copied_until`` may be as old as the copy from which the store was restored: it
    may have been superseded before the restore. A later item was either written in
    this era, or it is newer than everything that was known of the eras before.
    ``era_start`` is the lowest revision at which any known host listed this era.
    """

    def __init__(self, max_deleted: int = 4096) -> None:
        self._items_by_key: dict[str, PublishedItem] = {}
        self._max_deleted = max_deleted
        self._earlier_revision = NO_VERSION.revision
        self.version = NO_VERSION
        self.era_start = NO_VERSION.revision

    @property
    def copied_until(self) -> Version:
        """Return the newest version that may be older than what it replaced."""
        revision = min(self.era_start, self._earlier_revision)
        return Version(self.version.era, revision)

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
        changed_items = [item for item in items if self._apply(item)]
        self.version = max(self.version, version)
        self._drop_old_tombstones()
        return changed_items

    def replace(
        self,
        items: Iterable[PublishedItem],
        first_version: Version,
        era_start: StoreRevision | None = None,
    ) -> list[PublishedItem]:
        """Apply a full listing and delete the items that it does not contain.

        An item that isn't in the first listing of an era isn't known to have been
        deleted: the copy may lack it.

        :param first_version: the store version at the start of the listing. An
            item with a newer version is kept even if it is not listed.
        :param era_start: the ``era_start`` of the peer that sent the listing.
        """
        era = first_version.era
        if era < self.version.era:
            return []
        listed_items = list(items)
        keys = {item.key for item in listed_items}
        missing_items = [
            PublishedItem(
                item.key, first_version, None, is_uncopied=item.version.era != era
            )
            for item in self._items_by_key.values()
            if item.value is not None
            and item.key not in keys
            and item.version <= first_version
        ]
        if era > self.version.era:
            # Later pages of a listing may hold items that are newer than its start.
            self._earlier_revision = max(
                self._earlier_revision,
                self.version.revision,
                *(item.version.revision for item in self._items_by_key.values()),
            )
            self.era_start = first_version.revision if era_start is None else era_start
            self.version = Version.of(era, 0)
        return self.merge([*listed_items, *missing_items], first_version)

    def lower_era_start(
        self, era: StoreEra, era_start: StoreRevision
    ) -> list[PublishedItem]:
        """Record an earlier start of this era; return the items written since it."""
        if era != self.version.era or era_start >= self.era_start:
            return []
        copied_until = self.copied_until
        self.era_start = era_start
        return [
            item
            for item in self._items_by_key.values()
            if self.copied_until < item.write_version <= copied_until
        ]

    def _apply(self, item: PublishedItem) -> bool:
        previous = self._items_by_key.get(item.key)
        if previous is not None and previous.version >= item.version:
            is_deletion = item.value is None and previous.value is not None
            if not (is_deletion and previous.version == item.version):
                return False
        if previous is None and (item.value is None or item.version <= self.version):
            return False
        self._items_by_key[item.key] = item
        return True

    def _drop_old_tombstones(self) -> None:
        tombstones = [
            item for item in self._items_by_key.values() if item.value is None
        ]
        excess = len(tombstones) - self._max_deleted
        if excess > 0:
            for item in sorted(tombstones, key=lambda item: item.version)[:excess]:
                del self._items_by_key[item.key]
