"""Keeps this host's copy of the published items up to date from the store."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from mode import Service

from figshunt.directory import PublishedItem
from figshunt.gateway._outage import OutageRecord
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.runtime import EventLog, UnexpectedErrorLog
from figshunt.types import Clock, Step, Version

# Mean delay between attempts while the source fails. It is short, so that
# changes are seen soon after an outage, but grows with the number of hosts, so that
# all of them together make a bounded number of calls per second.
MIN_RETRY_DELAY_MS = 150
RETRY_DELAY_MS_PER_HOST = 10
MAX_RETRY_DELAY_MS = 1_000

# A change must take effect within 2 s, even if a watch was cut without an error, so
# with few hosts each watch ends after this time.
WATCH_WAIT_MS = 1_500

# From this number of hosts on, watches wait for longer, random times.
LARGE_FLEET_HOSTS = 9
WATCH_WAIT_MS_PER_HOST = 300
MAX_WATCH_WAIT_MS = 10_000

# Each call to the store has a price, so with many hosts each one waits this long
# before its next watch and reads several changes at once. This is shorter than
# the time after which a host with an older revision reads from a peer.
MIN_BATCH_DELAY_MS = 200
BATCH_DELAY_MS_PER_HOST = 5
MAX_BATCH_DELAY_MS = 500


class SourceError(Exception):
    """The source of published items can't be read at present."""


class HistoryLostError(SourceError):
    """The source no longer has the changes since the requested revision."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Items, and the version up to which they are complete."""

    items: tuple[PublishedItem, ...]
    version: Version


class ItemSource(Protocol):
    """A store from which the published items are read."""

    async def list_items(self) -> Listing:
        """Return all items."""

    async def watch(self, after: Version, wait_ms: int) -> Listing:
        """Return the changes after a version, waiting up to ``wait_ms`` for one."""

    async def close(self) -> None:
        """Close all connections."""


class DirectoryReader(Service):
    """Lists the store's items, then watches them; lists again if history is lost."""

    def __init__(
        self,
        source: ItemSource,
        items: PublishedItems,
        outage: OutageRecord,
        count_hosts: Callable[[], int],
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._source = source
        self._items = items
        self._outage = outage
        self._count_hosts = count_hosts
        self._clock = clock
        self._log = log
        self._error_log = UnexpectedErrorLog(log, clock)
        self._random = random_source
        self._has_listing = False
        self._has_lost_history = False
        self._task: asyncio.Task[None] | None = None

    async def on_started(self) -> None:
        """Start reading the store."""
        self._task = asyncio.get_running_loop().create_task(self._read_continuously())

    async def on_stop(self) -> None:
        """Stop reading and close the source."""
        if self._task is not None:
            self._task.cancel()
        await self._source.close()

    async def _read_continuously(self) -> None:
        while True:
            started_ms = self._clock.now().monotonic_ms
            try:
                await self._read_once()
                self._items.set_available(ItemOrigin.STORE, True, "store responded")
            except HistoryLostError as error:
                self._has_listing = False
                self._log.write("history_lost", step=Step.STORE.value, detail=error)
                if self._has_lost_history:
                    # Without a watch in between, the next listing may be lost as well,
                    # as if an address serves two eras in alternation.
                    await asyncio.sleep(self._retry_delay_ms() / 1000)
                self._has_lost_history = True
            except SourceError as error:
                await self._pause(started_ms, str(error))
            except Exception as error:
                # What the store sends may not be what was agreed on.
                self._error_log.write(error, Step.STORE)
                await self._pause(started_ms, f"{type(error).__name__}: {error}")

    async def _pause(self, started_ms: int, detail: str) -> None:
        """Record that the store can't be read, and wait before the next attempt."""
        self._outage.record_failure(
            started_ms, self._items.is_available(ItemOrigin.PEER)
        )
        self._items.set_available(ItemOrigin.STORE, False, detail)
        await asyncio.sleep(self._retry_delay_ms() / 1000)

    async def _read_once(self) -> None:
        listing = await (self._watch() if self._has_listing else self._list())
        if listing.items and self._count_hosts() >= LARGE_FLEET_HOSTS:
            await asyncio.sleep(self._batch_delay_ms() / 1000)

    async def _watch(self) -> Listing:
        after = self._items.version
        listing = await self._source.watch(after, self._watch_wait_ms())
        eras = {after.era, listing.version.era, self._items.version.era}
        if len(eras) > 1:
            # The revisions of one era say nothing about those of another one.
            raise HistoryLostError(f"the watch spans the eras {sorted(eras)}")
        has_lapsed = self._outage.record_success()
        self._items.merge(listing.items, listing.version, has_lapsed)
        self._has_lost_history = False
        return listing

    async def _list(self) -> Listing:
        listing = await self._source.list_items()
        known_era = self._items.version.era
        if listing.version.era < known_era:
            raise SourceError(
                f"store listed era {listing.version.era}, but a peer has read era "
                f"{known_era}"
            )
        has_lapsed = self._outage.record_success()
        self._items.replace(listing.items, listing.version, has_lapsed)
        self._has_listing = True
        return listing

    def _batch_delay_ms(self) -> int:
        delay_ms = BATCH_DELAY_MS_PER_HOST * self._count_hosts()
        return min(MAX_BATCH_DELAY_MS, max(MIN_BATCH_DELAY_MS, delay_ms))

    def _retry_delay_ms(self) -> float:
        delay_ms = RETRY_DELAY_MS_PER_HOST * self._count_hosts()
        mean_delay_ms = min(MAX_RETRY_DELAY_MS, max(MIN_RETRY_DELAY_MS, delay_ms))
        return mean_delay_ms * (0.5 + self._random.random())

    def _watch_wait_ms(self) -> int:
        """Return how long the next watch may wait for a change.

        A watch can be cut without an error. A host that sees a newer revision
        announces it to its peers, so with many hosts each one may wait longer
        on average as long as one watch ends soon. The wait is random because
        watches that returned the same change are restarted at the same time.
        """
        host_count = self._count_hosts()
        if host_count < LARGE_FLEET_HOSTS:
            return WATCH_WAIT_MS
        max_wait_ms = min(MAX_WATCH_WAIT_MS, WATCH_WAIT_MS_PER_HOST * host_count)
        return int(max_wait_ms * (0.1 + 0.9 * self._random.random()))
