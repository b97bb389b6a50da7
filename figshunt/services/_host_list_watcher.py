"""Polls the platform's host list."""

import asyncio
import json
import random
from typing import Any

import aiohttp
from mode import Service

from figshunt.runtime import EventLog, LogRateLimit, MessageSink
from figshunt.types import (
    Clock,
    DataCentreName,
    HostListEntry,
    HostListReceived,
    HostName,
    HostState,
    PoolName,
    Step,
)

# The list itself lags behind the state of the hosts, so a long poll would gain
# little.
READ_INTERVAL_MS = 1_000
READ_TIMEOUT_MS = 2_000
FAILURE_LOG_INTERVAL_MS = 30_000
MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_HOSTS = 10_000
MAX_TEXT_CHARS = 256


class HostListWatcher(Service):
    """Polls the host list and passes each changed list to the core."""

    def __init__(
        self,
        url: str,
        message_sink: MessageSink,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._url = f"{url}/v1/hosts"
        self._message_sink = message_sink
        self._log = log
        self._random = random_source
        self._failure_log_limit = LogRateLimit(clock, FAILURE_LOG_INTERVAL_MS)
        self._session: aiohttp.ClientSession | None = None
        self._task: asyncio.Task[None] | None = None
        self._last_hosts: tuple[HostListEntry, ...] | None = None

    async def on_start(self) -> None:
        """Start polling."""
        self._session = aiohttp.ClientSession()
        self._task = asyncio.get_running_loop().create_task(self._poll(self._session))

    async def on_stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        while True:
            try:
                async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                    hosts = await self._read(session)
                if hosts != self._last_hosts:
                    self._last_hosts = hosts
                    self._message_sink.submit(HostListReceived(hosts))
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                self._log_failure(error)
            delay_ms = READ_INTERVAL_MS * (0.75 + self._random.random() / 2)
            await asyncio.sleep(delay_ms / 1000)

    async def _read(self, session: aiohttp.ClientSession) -> tuple[HostListEntry, ...]:
        async with session.get(self._url) as response:
            response.raise_for_status()
            data = b""
            async for chunk in response.content.iter_any():
                data += chunk
                if len(data) > MAX_LIST_BYTES:
                    raise ValueError(f"host list is larger than {MAX_LIST_BYTES} bytes")
        return decode_host_list(data)

    def _log_failure(self, error: Exception) -> None:
        suppressed = self._failure_log_limit.admit()
        if suppressed is not None:
            self._log.write(
                "host_list_unreadable",
                "warning",
                step=Step.HOST_LIST.value,
                peer=self._url,
                detail=f"{type(error).__name__}: {error}"[:200],
                suppressed=suppressed,
            )


def decode_host_list(data: bytes) -> tuple[HostListEntry, ...]:
    """Decode a host list.

    :raises ValueError: if the list is invalid. One invalid entry invalidates the
        entire list, because it may be the entry of a host that is leaving.
    """
    try:
        entries = json.loads(data)["hosts"]
        if not isinstance(entries, list) or len(entries) > MAX_HOSTS:
            raise ValueError(
                f"expected 'hosts' as a list of at most {MAX_HOSTS} entries"
            )
        return tuple(_decode_host(entry) for entry in entries)
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"invalid host list: {error}") from error


def _decode_host(entry: Any) -> HostListEntry:
    if not isinstance(entry, dict):
        raise ValueError(
            f"expected a host list entry as an object, got {type(entry).__name__}"
        )
    pool = entry.get("pool")
    url = entry.get("url")
    return HostListEntry(
        name=HostName(_check_text(entry["name"])),
        data_centre=DataCentreName(_check_text(entry["data_centre"])),
        state=HostState(_check_text(entry["state"])),
        pool=None if pool is None else PoolName(_check_text(pool)),
        url=None if url is None else _check_text(url).rstrip("/"),
    )


def _check_text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise ValueError(
            f"expected text of 1 to {MAX_TEXT_CHARS} characters, got {value!r:.80}"
        )
    return value
