"""Watches the configuration service for new revisions of the tables."""

import asyncio
import random

import aiohttp
from mode import Service

from figshunt.runtime import Feed
from figshunt.services._table_decoder import TableDecoder
from figshunt.types import TableServiceRead, TableSourceKind

# A watch that hangs must be noticed in time for another seat to take over and
# still bring a revision into force within 3 s.
WATCH_MS = 1_000
ANSWER_LIMIT_MS = 750
FIRST_RETRY_MS = 250
LONGEST_RETRY_MS = 1_000
# Bounds the rate of reads where the service answers a watch at once.
LEAST_INTERVAL_MS = 50
LARGEST_VALUE_BYTES = 2 * 1024 * 1024
TABLE_NAMES = ("routes", "pools")


class TableWatcher(Service):
    """Reads both tables, then waits for changes of either with a long poll.

    It reads only while it is wanted: one reader for each cell is enough.
    """

    def __init__(
        self, url: str, feed: Feed, decoder: TableDecoder, random_source: random.Random
    ) -> None:
        super().__init__()
        self._url = url
        self._feed = feed
        self._decoder = decoder
        self._random = random_source
        self._session: aiohttp.ClientSession | None = None
        self._texts_by_name: dict[str, str] = {}
        self._watches: list[asyncio.Task[None]] = []

    async def on_start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession()

    async def on_stop(self) -> None:
        """End the watches."""
        self.set_wanted(False)
        if self._session is not None:
            await self._session.close()

    def set_wanted(self, wanted: bool, restart: bool = False) -> None:
        """Begin or end to watch; with ``restart``, read everything afresh."""
        if restart or not wanted:
            for task in self._watches:
                task.cancel()
            self._watches = []
            self._texts_by_name.clear()
        if wanted and not self._watches and self._session is not None:
            loop = asyncio.get_running_loop()
            self._watches = [
                loop.create_task(self._watch(self._session, name))
                for name in TABLE_NAMES
            ]

    async def _watch(self, session: aiohttp.ClientSession, name: str) -> None:
        version = ""
        retry_ms = FIRST_RETRY_MS
        while True:
            try:
                version = await self._read(session, name, version)
                self._feed.feed(TableServiceRead(True))
                retry_ms = FIRST_RETRY_MS
                pause_ms = LEAST_INTERVAL_MS if version else WATCH_MS
                await asyncio.sleep(pause_ms / 1000)
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                detail = f"{name}: {type(error).__name__}: {error}"
                self._feed.feed(TableServiceRead(False, detail[:200]))
                await asyncio.sleep(retry_ms * (0.5 + self._random.random()) / 1000)
                retry_ms = min(2 * retry_ms, LONGEST_RETRY_MS)

    async def _read(
        self, session: aiohttp.ClientSession, name: str, version: str
    ) -> str:
        params = {"after": version, "wait_ms": str(WATCH_MS)} if version else {}
        limit_ms = ANSWER_LIMIT_MS + (WATCH_MS if version else 0)
        async with asyncio.timeout(limit_ms / 1000):
            async with session.get(
                f"{self._url}/v1/values/{name}", params=params
            ) as response:
                if response.status == 304:
                    return version
                response.raise_for_status()
                text = await _read_bounded(response)
                version = response.headers.get("X-Version", "")
        self._texts_by_name[name] = text
        self._offer()
        return version

    def _offer(self) -> None:
        if len(self._texts_by_name) == len(TABLE_NAMES):
            routes, pools = (self._texts_by_name[name] for name in TABLE_NAMES)
            self._feed.feed(
                self._decoder.decode(routes, pools, TableSourceKind.SERVICE, self._url)
            )


async def _read_bounded(response: aiohttp.ClientResponse) -> str:
    """Return the text of a value.

    :raises ValueError: if it is too large or not UTF-8.
    """
    data = b""
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > LARGEST_VALUE_BYTES:
            raise ValueError(f"larger than {LARGEST_VALUE_BYTES} bytes")
    return data.decode("utf-8")
