"""This host's copy of the published items, merged from the store and from peers."""

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum

from figshunt.directory import (
    ItemReplica,
    PublishedItem,
    SourceStateChanged,
    StoreRestored,
)
from figshunt.gateway._codecs import ItemCodec
from figshunt.runtime import EventLog, MessageSink
from figshunt.types import NO_VERSION, Step, Version


class ItemOrigin(Enum):
    """Where this host reads the published items from."""

    STORE = "store"
    PEER = "peer"


class PublishedItems:
    """Merges items from all origins and passes the changes to the core."""

    def __init__(
        self,
        codec: ItemCodec,
        message_sink: MessageSink,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        self._codec = codec
        self._message_sink = message_sink
        self._log = log
        self._on_change = on_change
        self._replica = ItemReplica()
        self._available_origins: set[ItemOrigin] = set()
        self._change_event = asyncio.Event()

    @property
    def version(self) -> Version:
        """Return the version up to which the copy is complete."""
        return self._replica.version

    def all_items(self) -> Sequence[PublishedItem]:
        """Return all known items, including deleted ones."""
        return tuple(self._replica.items().values())

    def merge(
        self,
        items: Sequence[PublishedItem],
        version: Version,
        after_outage: bool = False,
    ) -> None:
        """Apply changes of this era; the version is that up to which they are all."""
        self._publish(self._replica.merge(items, version), after_outage)

    def replace(
        self,
        items: Sequence[PublishedItem],
        version: Version,
        after_outage: bool = False,
    ) -> None:
        """Replace the copy by a complete listing, which may begin a new era."""
        previous = self._replica.version
        changed_items = self._replica.replace(items, version)
        if previous.era < self._replica.version.era and previous != NO_VERSION:
            self._message_sink.submit(StoreRestored(version))
        self._publish(changed_items, after_outage)

    def set_available(
        self, origin: ItemOrigin, is_available: bool, detail: str
    ) -> None:
        """Record whether changes can be read from an origin at present."""
        if is_available == (origin in self._available_origins):
            return
        was_current = bool(self._available_origins)
        (
            self._available_origins.add
            if is_available
            else self._available_origins.discard
        )(origin)
        self._log.write(
            "origin_regained" if is_available else "origin_lost",
            "info" if is_available else "warning",
            step=Step.STORE.value,
            origin=origin.value,
            detail=detail,
            era=self.version.era,
            revision=self.version.revision,
        )
        is_current = bool(self._available_origins)
        if is_current != was_current:
            self._message_sink.submit(SourceStateChanged(is_current, detail))

    def is_available(self, origin: ItemOrigin) -> bool:
        """Return whether changes can be read from an origin at present."""
        return origin in self._available_origins

    async def wait_for_change(self) -> None:
        """Wait until an item changes."""
        await self._change_event.wait()

    def _publish(
        self, changed_items: Sequence[PublishedItem], after_outage: bool
    ) -> None:
        for message in self._codec.decode(changed_items, after_outage):
            self._message_sink.submit(message)
        if changed_items:
            self._change_event.set()
            self._change_event = asyncio.Event()
            self._on_change()
