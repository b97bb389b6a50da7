"""Reads new revisions of the tables from the configuration service."""

import asyncio
import random

import aiohttp
from mode import Service

from figshunt.runtime import MessageSink
from figshunt.services._table_decoder import TableDecoder
from figshunt.types import TableServiceRead, TableSourceKind

# A hung watch must time out early enough for another seat to become the reader and
# still bring a new revision into force within 3 s.
LONG_POLL_MS = 1_000
RESPONSE_TIMEOUT_MS = 750
INITIAL_RETRY_DELAY_MS = 250
MAX_RETRY_DELAY_MS = 1_000
# Limits the read rate if the service answers long polls immediately.
MIN_READ_INTERVAL_MS = 50
MAX_VALUE_BYTES = 2 * 1024 * 1024
TABLE_NAMES = ("routes", "pools")


class TableWatcher(Service):
    """Reads both tables and waits for changes of each with a long poll.

    The watcher is enabled only while this seat is the reader of its cell, because
    one reader per cell is enough.
    """

    def __init__(
        self,
        url: str,
        message_sink: MessageSink,
        decoder: TableDecoder,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._url = url
        self._message_sink = message_sink
        self._decoder = decoder
        self._random = random_source
        self._session: aiohttp.ClientSession | None = None
        self._texts_by_name: dict[str, str] = {}
        self._watch_tasks: list[asyncio.Task[None]] = []

    async def on_start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession()

    async def on_stop(self) -> None:
        """Stop the watches and close the client session."""
        self.set_enabled(False)
        if self._session is not None:
            await self._session.close()

    def set_enabled(self, enabled: bool, restart: bool = False) -> None:
        """Start or stop the watches; ``restart`` discards all values read so far."""
        if restart or not enabled:
            for task in self._watch_tasks:
                task.cancel()
            self._watch_tasks = []
            self._texts_by_name.clear()
        if enabled and not self._watch_tasks and self._session is not None:
            loop = asyncio.get_running_loop()
            self._watch_tasks = [
                loop.create_task(self._watch(self._session, name))
                for name in TABLE_NAMES
            ]

    async def _watch(self, session: aiohttp.ClientSession, name: str) -> None:
        version = ""
        retry_delay_ms = INITIAL_RETRY_DELAY_MS
        while True:
            try:
                version = await self._read(session, name, version)
                self._message_sink.submit(TableServiceRead(True))
                retry_delay_ms = INITIAL_RETRY_DELAY_MS
                delay_ms = MIN_READ_INTERVAL_MS if version else LONG_POLL_MS
                await asyncio.sleep(delay_ms / 1000)
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                detail = f"{name}: {type(error).__name__}: {error}"
                self._message_sink.submit(TableServiceRead(False, detail[:200]))
                await asyncio.sleep(
                    retry_delay_ms * (0.5 + self._random.random()) / 1000
                )
                retry_delay_ms = min(2 * retry_delay_ms, MAX_RETRY_DELAY_MS)

    async def _read(
        self, session: aiohttp.ClientSession, name: str, version: str
    ) -> str:
        params = {"after": version, "wait_ms": str(LONG_POLL_MS)} if version else {}
        timeout_ms = RESPONSE_TIMEOUT_MS + (LONG_POLL_MS if version else 0)
        async with asyncio.timeout(timeout_ms / 1000):
            async with session.get(
                f"{self._url}/v1/values/{name}", params=params
            ) as response:
                if response.status == 304:
                    return version
                response.raise_for_status()
                text = await _read_bounded(response)
                version = response.headers.get("X-Version", "")
        self._texts_by_name[name] = text
        self._submit_tables()
        return version

    def _submit_tables(self) -> None:
        if len(self._texts_by_name) == len(TABLE_NAMES):
            routes, pools = (self._texts_by_name[name] for name in TABLE_NAMES)
            self._message_sink.submit(
                self._decoder.decode(routes, pools, TableSourceKind.SERVICE, self._url)
            )


async def _read_bounded(response: aiohttp.ClientResponse) -> str:
    """Return the response body as text.

    :raises ValueError: if it exceeds ``MAX_VALUE_BYTES`` or isn't valid UTF-8.
    """
    data = b""
    async for chunk in response.content.iter_any():
        data += chunk
        if len(data) > MAX_VALUE_BYTES:
            raise ValueError(f"value is larger than {MAX_VALUE_BYTES} bytes")
    return data.decode("utf-8")
