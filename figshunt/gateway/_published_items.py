"""This host's copy of the published items, whoever told them."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum

from figshunt.directory import Item, ItemReplica, SourceStateChanged
from figshunt.gateway._wire import ItemCodec
from figshunt.runtime import EventLog, Feed
from figshunt.types import Step


class ItemOrigin(Enum):
    """Who tells this host the published items."""

    STORE = "store"
    PEER = "peer"


class PublishedItems:
    """Merges items from all origins, and feeds the core what changed."""

    def __init__(
        self,
        codec: ItemCodec,
        feed: Feed,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        self._codec = codec
        self._feed = feed
        self._log = log
        self._on_change = on_change
        self._replica = ItemReplica()
        self._open_origins: set[ItemOrigin] = set()
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Return the revision up to which everything is known."""
        return self._replica.revision

    def all_items(self) -> Sequence[Item]:
        """Return all known items, the deleted ones included."""
        return tuple(self._replica.items().values())

    def merge(
        self, items: Sequence[Item], revision: int, after_outage: bool = False
    ) -> None:
        """Take over changed items."""
        self._pass_on(self._replica.merge(items, revision), after_outage)

    def replace(
        self, items: Sequence[Item], revision: int, after_outage: bool = False
    ) -> None:
        """Take over a whole listing."""
        self._pass_on(self._replica.replace(items, revision), after_outage)

    def set_open(self, origin: ItemOrigin, is_open: bool, detail: str) -> None:
        """Note whether an origin tells changes at present."""
        if is_open == (origin in self._open_origins):
            return
        was_current = bool(self._open_origins)
        (self._open_origins.add if is_open else self._open_origins.discard)(origin)
        self._log.write(
            "origin_regained" if is_open else "origin_lost",
            "info" if is_open else "warning",
            step=Step.STORE.value,
            origin=origin.value,
            detail=detail,
            revision=self.revision,
        )
        is_current = bool(self._open_origins)
        if is_current != was_current:
            self._feed.feed(SourceStateChanged(is_current, detail))

    def is_open(self, origin: ItemOrigin) -> bool:
        """Return whether an origin tells changes at present."""
        return origin in self._open_origins

    async def wait_changed(self) -> None:
        """Wait until an item changes."""
        await self._changed.wait()

    def _pass_on(self, changed: Sequence[Item], after_outage: bool) -> None:
        for message in self._codec.decode(changed, after_outage):
            self._feed.feed(message)
        if changed:
            self._changed.set()
            self._changed = asyncio.Event()
            self._on_change()
