"""Reads the published items and feeds what changed to the core."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from mode import Service

from figshunt.directory import Item
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.runtime import EventLog
from figshunt.types import Clock, Step

# Time between two tries while the source fails; the shorter, the sooner a
# change is seen after an outage.
RETRY_MS = 150

# A change has to be in force 2 s after it was made, also if watches were cut.
WATCH_WAIT_MS = 1_500
MANY_HOSTS = 9
WATCH_MS_PER_HOST = 300
LONGEST_WATCH_MS = 10_000

# With many hosts, each gathers changes for this long before it asks again, as
# each call is priced. It is shorter than the time after which a host that knows
# less than its peers reads from one of them.
GATHER_MS = 200

# Entries that vanish this soon after calls failed for this long may have lapsed
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

    async def watch(self, after_revision: int, wait_ms: int) -> Listing:
        """Return what changed after a revision, waiting for a change that long."""

    async def close(self) -> None:
        """Close all connections."""


class DirectoryReader(Service):
    """Keeps the copy of the published items current from the store."""

    def __init__(
        self,
        source: ItemSource,
        items: PublishedItems,
        count_hosts: Callable[[], int],
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._source = source
        self._items = items
        self._count_hosts = count_hosts
        self._clock = clock
        self._log = log
        self._random = random_source
        self._is_listed = False
        self._failing_since_ms: int | None = None
        self._lapses_until_ms = 0
        self._task: asyncio.Task[None] | None = None

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
            began_ms = self._clock.now().monotonic_ms
            try:
                await self._read_once()
                self._items.set_open(ItemOrigin.STORE, True, "store answered")
            except HistoryLostError as error:
                self._is_listed = False
                self._log.write("history_lost", step=Step.STORE.value, detail=error)
            except SourceError as error:
                self._note_failure(began_ms)
                self._items.set_open(ItemOrigin.STORE, False, str(error))
                wait_ms = RETRY_MS * (0.5 + self._random.random())
                await asyncio.sleep(wait_ms / 1000)

    async def _read_once(self) -> None:
        if self._is_listed:
            wait_ms = self._watch_wait_ms()
            listing = await self._source.watch(self._items.revision, wait_ms)
            take = self._items.merge
        else:
            listing = await self._source.list_items()
            take = self._items.replace
        take(listing.items, listing.revision, self._may_have_lapsed())
        self._is_listed = True
        if listing.items and self._count_hosts() >= MANY_HOSTS:
            await asyncio.sleep(GATHER_MS / 1000)

    def _watch_wait_ms(self) -> int:
        """Return how long the next watch waits.

        A watch can be cut without a word. One host that finds out tells all
        others, so with many hosts each may wait longer on average, as long as
        some watch ends soon; watches that saw the same change start together.
        """
        hosts = self._count_hosts()
        if hosts < MANY_HOSTS:
            return WATCH_WAIT_MS
        longest_ms = min(LONGEST_WATCH_MS, WATCH_MS_PER_HOST * hosts)
        return int(longest_ms * (0.1 + 0.9 * self._random.random()))

    def _note_failure(self, began_ms: int) -> None:
        """Note since when nobody is known to read the store.

        While a peer reads it, runners can renew their entries too.
        """
        if self._items.is_open(ItemOrigin.PEER):
            self._failing_since_ms = self._clock.now().monotonic_ms
        elif self._failing_since_ms is None:
            self._failing_since_ms = began_ms

    def _may_have_lapsed(self) -> bool:
        """Note an answer; return whether entries may have lapsed in an outage."""
        now_ms = self._clock.now().monotonic_ms
        failing_since_ms, self._failing_since_ms = self._failing_since_ms, None
        if failing_since_ms is not None and now_ms - failing_since_ms > OUTAGE_MS:
            self._lapses_until_ms = now_ms + LAPSE_MS
        return now_ms < self._lapses_until_ms
