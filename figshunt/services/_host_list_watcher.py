"""Reads the platform's host list."""

import asyncio
import json
import random
from typing import Any

import aiohttp
from mode import Service

from figshunt.runtime import EventLimit, EventLog, Feed
from figshunt.types import (
    Clock,
    DataCentreName,
    HostName,
    HostsListed,
    HostState,
    ListedHost,
    PoolName,
    Step,
)

# The list lags behind the hosts anyway, so a watch would gain little.
READ_INTERVAL_MS = 1_000
READ_LIMIT_MS = 2_000
FAILURE_LOG_INTERVAL_MS = 30_000
LARGEST_LIST_BYTES = 4 * 1024 * 1024
LARGEST_LIST = 10_000
LONGEST_TEXT = 256


class HostListWatcher(Service):
    """Polls the host list and feeds it to the core whenever it has changed."""

    def __init__(
        self,
        url: str,
        feed: Feed,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._url = f"{url}/v1/hosts"
        self._feed = feed
        self._log = log
        self._random = random_source
        self._failure_limit = EventLimit(clock, FAILURE_LOG_INTERVAL_MS)
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None
        self._hosts: tuple[ListedHost, ...] | None = None

    async def on_start(self) -> None:
        """Start to read."""
        self._session = aiohttp.ClientSession()
        self._task = asyncio.get_running_loop().create_task(self._watch(self._session))

    async def on_stop(self) -> None:
        """End the reads."""
        if self._task is not None:
            self._task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _watch(self, session: aiohttp.ClientSession) -> None:
        while True:
            try:
                async with asyncio.timeout(READ_LIMIT_MS / 1000):
                    hosts = await self._read(session)
                if hosts != self._hosts:
                    self._hosts = hosts
                    self._feed.feed(HostsListed(hosts))
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                self._report(error)
            wait_ms = READ_INTERVAL_MS * (0.75 + self._random.random() / 2)
            await asyncio.sleep(wait_ms / 1000)

    async def _read(self, session: aiohttp.ClientSession) -> tuple[ListedHost, ...]:
        async with session.get(self._url) as response:
            response.raise_for_status()
            data = b""
            async for chunk in response.content.iter_any():
                data += chunk
                if len(data) > LARGEST_LIST_BYTES:
                    raise ValueError(f"larger than {LARGEST_LIST_BYTES} bytes")
        return decode_host_list(data)

    def _report(self, error: Exception) -> None:
        suppressed = self._failure_limit.admit()
        if suppressed is not None:
            self._log.write(
                "host_list_unreadable",
                "warning",
                step=Step.HOST_LIST.value,
                peer=self._url,
                detail=f"{type(error).__name__}: {error}"[:200],
                suppressed=suppressed,
            )


def decode_host_list(data: bytes) -> tuple[ListedHost, ...]:
    """Decode a host list.

    :raises ValueError: if it isn't one; a list with a wrong entry is refused
        as a whole, since the entry may be the host that is leaving.
    """
    try:
        entries = json.loads(data)["hosts"]
        if not isinstance(entries, list) or len(entries) > LARGEST_LIST:
            raise ValueError(f"'hosts' is not a list of at most {LARGEST_LIST}")
        return tuple(_decode_host(entry) for entry in entries)
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"not a host list: {error}") from error


def _decode_host(entry: Any) -> ListedHost:
    if not isinstance(entry, dict):
        raise ValueError("an entry is not an object")
    pool = entry.get("pool")
    url = entry.get("url")
    return ListedHost(
        name=HostName(_text(entry["name"])),
        data_centre=DataCentreName(_text(entry["data_centre"])),
        state=HostState(_text(entry["state"])),
        pool=None if pool is None else PoolName(_text(pool)),
        url=None if url is None else _text(url).rstrip("/"),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= LONGEST_TEXT:
        raise ValueError(f"expected text of 1 to {LONGEST_TEXT} characters")
    return value
