"""Watches the configuration service for new revisions of the tables."""

import asyncio
import random

import aiohttp
from mode import Service

from figshunt.codec import decode_tables
from figshunt.services._feed import Feed
from figshunt.types import (
    RevisionNumber,
    TablesOffered,
    TableSourceKind,
    TablesRefused,
)

WATCH_MS = 20_000
RETRY_MS = 500
TABLE_NAMES = ("routes", "pools")


class TableWatcher(Service):
    """Reads both tables, then waits for changes of either with a long poll."""

    def __init__(self, url: str, feed: Feed, random_source: random.Random) -> None:
        super().__init__()
        self._url = url
        self._feed = feed
        self._random = random_source
        self._session: aiohttp.ClientSession | None = None
        self._texts_by_name: dict[str, str] = {}
        self._watches: list[asyncio.Task[None]] = []

    async def on_start(self) -> None:
        """Start one watch for each table."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=WATCH_MS / 1000 + 5)
        )
        loop = asyncio.get_running_loop()
        self._watches = [loop.create_task(self._watch(name)) for name in TABLE_NAMES]

    async def on_stop(self) -> None:
        """End the watches."""
        for task in self._watches:
            task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _watch(self, name: str) -> None:
        version = ""
        while True:
            try:
                version = await self._read(name, version)
            except (aiohttp.ClientError, OSError, TimeoutError, UnicodeError):
                wait_ms = RETRY_MS * (0.5 + self._random.random())
                await asyncio.sleep(wait_ms / 1000)

    async def _read(self, name: str, version: str) -> str:
        assert self._session is not None
        params = {"after": version, "wait_ms": str(WATCH_MS)} if version else {}
        url = f"{self._url}/v1/values/{name}"
        async with self._session.get(url, params=params) as response:
            if response.status == 304:
                return version
            response.raise_for_status()
            self._texts_by_name[name] = await response.text()
            self._offer()
            return response.headers.get("X-Version", "")

    def _offer(self) -> None:
        if len(self._texts_by_name) < len(TABLE_NAMES):
            return
        routes, pools = (self._texts_by_name[name] for name in TABLE_NAMES)
        checked = decode_tables(routes, pools)
        if checked.tables is not None:
            self._feed.feed(
                TablesOffered(
                    checked.tables, (routes, pools), TableSourceKind.SERVICE, self._url
                )
            )
            return
        faults = tuple(str(fault) for fault in checked.faults)
        revision: RevisionNumber | None = None
        self._feed.feed(
            TablesRefused(revision, faults, TableSourceKind.SERVICE, self._url)
        )
