"""Reads the published items and feeds what changed to the core."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from mode import Service

from figshunt.directory import Item, ItemReplica, SourceStateChanged
from figshunt.gateway._wire import ItemCodec
from figshunt.services import EventLog, Feed
from figshunt.types import Clock, Step

# Time between two tries while the source fails; the shorter, the sooner a
# change is seen after an outage.
RETRY_MS = 150

# The state counts as current for this long after the last answer.
CURRENT_MS = 2_600

# Entries that vanish this soon after an outage of this length may have lapsed
# because their runners couldn't renew them.
OUTAGE_MS = 1_500
LAPSE_MS = 2_500


class SourceError(Exception):
    """The source of published items can't be read now."""


class HistoryLostError(SourceError):
    """The source can't tell what changed since a revision."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Items, and the revision up to which the source has told everything."""

    items: tuple[Item, ...]
    revision: int


class ItemSource(Protocol):
    """A place where published items can be read."""

    async def list_items(self) -> Listing:
        """Return all items."""

    async def watch(self, after_revision: int) -> Listing:
        """Return what changed after a revision."""

    async def close(self) -> None:
        """Close all connections."""


class PublishedItems:
    """This host's copy of the published items; feeds the core what changed."""

    def __init__(self, codec: ItemCodec, feed: Feed) -> None:
        self._codec = codec
        self._feed = feed
        self.replica = ItemReplica()
        self._waiting: set[asyncio.Event] = set()

    def take(self, changed: Sequence[Item], after_outage: bool) -> None:
        """Feed changed items, and wake whoever passes them on."""
        for message in self._codec.decode(changed, after_outage):
            self._feed.feed(message)
        if changed:
            for event in self._waiting:
                event.set()

    def subscribe(self) -> asyncio.Event:
        """Return an event that is set whenever something changes."""
        event = asyncio.Event()
        self._waiting.add(event)
        return event

    def unsubscribe(self, event: asyncio.Event) -> None:
        """Stop setting an event."""
        self._waiting.discard(event)


class DirectoryReader(Service):
    """Keeps the copy of the published items current from the store."""

    def __init__(
        self,
        source: ItemSource,
        items: PublishedItems,
        feed: Feed,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._source = source
        self._items = items
        self._feed = feed
        self._clock = clock
        self._log = log
        self._random = random_source
        self._is_listed = False
        self._read_ms: int | None = None
        self._lapses_until_ms = 0
        self._is_current = False
        self._task: asyncio.Task[None] | None = None

    @property
    def is_reading(self) -> bool:
        """Return whether the store answered lately."""
        read_ms = self._read_ms
        now_ms = self._clock.now().monotonic_ms
        return read_ms is not None and now_ms - read_ms < CURRENT_MS

    async def on_started(self) -> None:
        """Start to read."""
        self._task = asyncio.get_running_loop().create_task(self._read_for_ever())

    async def on_stop(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
        await self._source.close()

    async def _read_for_ever(self) -> None:
        while True:
            try:
                await self._read_once()
                self._set_current(True, "store answered")
            except HistoryLostError as error:
                self._is_listed = False
                self._log.write("history_lost", step=Step.STORE.value, detail=error)
            except SourceError as error:
                self._set_current(False, str(error))
                wait_ms = RETRY_MS * (0.5 + self._random.random())
                await asyncio.sleep(wait_ms / 1000)

    async def _read_once(self) -> None:
        replica = self._items.replica
        if self._is_listed:
            listing = await self._source.watch(replica.revision)
            changed = replica.merge(listing.items, listing.revision)
        else:
            listing = await self._source.list_items()
            changed = replica.replace(listing.items, listing.revision)
        self._note_read()
        is_lapse = self._clock.now().monotonic_ms < self._lapses_until_ms
        self._items.take(changed, is_lapse)
        self._is_listed = True

    def _note_read(self) -> None:
        now_ms = self._clock.now().monotonic_ms
        if (
            self._read_ms is not None
            and now_ms - self._read_ms > CURRENT_MS + OUTAGE_MS
        ):
            self._lapses_until_ms = now_ms + LAPSE_MS
        self._read_ms = now_ms

    def _set_current(self, is_current: bool, detail: str) -> None:
        if is_current == self._is_current:
            return
        self._is_current = is_current
        self._log.write(
            "store_regained" if is_current else "store_lost",
            "info" if is_current else "warning",
            step=Step.STORE.value,
            detail=detail,
            revision=self._items.replica.revision,
        )
        self._feed.feed(SourceStateChanged(is_current, detail))
