"""Holds a stream of load reports open to every runner."""

import asyncio
import json
import random
from collections.abc import Mapping

import aiohttp
from mode import Service

from figshunt.runtime import Feed
from figshunt.types import (
    ColdEvidence,
    LoadReport,
    LoadReported,
    RunnerId,
    RunnerUnreachable,
    StartIdentity,
)

RECONNECT_MS = 200
SILENCE_TIMEOUT_S = 3.0

# A report that says nothing new is needed only to show that the runner is
# there; one a second keeps it well inside the 3 s after which reports are old.
REPEAT_INTERVAL_S = 1.0


class LoadWatcher(Service):
    """One held connection for each runner; its loss is evidence of a restart.

    A runner process that dies takes the connection with it at once, so the
    loss is seen long before the next report would have been due.
    """

    def __init__(self, feed: Feed, random_source: random.Random) -> None:
        super().__init__()
        self._feed = feed
        self._random = random_source
        self._session: aiohttp.ClientSession | None = None
        self._tasks_by_runner: dict[RunnerId, asyncio.Task[None]] = {}

    async def on_start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=SILENCE_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
            ),
        )

    async def on_stop(self) -> None:
        """Close every stream."""
        self.watch({})
        if self._session is not None:
            await self._session.close()

    def watch(self, urls_by_runner: Mapping[RunnerId, str]) -> None:
        """Watch exactly these runners from now on."""
        for runner_id in tuple(self._tasks_by_runner):
            if runner_id not in urls_by_runner:
                self._tasks_by_runner.pop(runner_id).cancel()
        for runner_id, url in urls_by_runner.items():
            if runner_id not in self._tasks_by_runner:
                task = asyncio.get_running_loop().create_task(
                    self._watch_runner(runner_id, url)
                )
                self._tasks_by_runner[runner_id] = task

    async def _watch_runner(self, runner_id: RunnerId, url: str) -> None:
        while True:
            evidence = ColdEvidence.REPORTS_LOST
            try:
                await self._read_reports(runner_id, url)
            except aiohttp.ClientConnectorError:
                evidence = ColdEvidence.CONNECTION_REFUSED
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                pass
            self._feed.feed(RunnerUnreachable(runner_id, evidence))
            wait_ms = RECONNECT_MS * (0.5 + self._random.random())
            await asyncio.sleep(wait_ms / 1000)

    async def _read_reports(self, runner_id: RunnerId, url: str) -> None:
        assert self._session is not None
        async with self._session.get(f"{url}/load?watch=1") as response:
            response.raise_for_status()
            fed_line = b""
            fed_s = 0.0
            async for line in response.content:
                now_s = asyncio.get_running_loop().time()
                if line == fed_line and now_s - fed_s < REPEAT_INTERVAL_S:
                    continue
                fed_line, fed_s = line, now_s
                self._feed.feed(LoadReported(runner_id, decode_load_report(line)))


def decode_load_report(line: bytes) -> LoadReport:
    """Decode one line of a load stream.

    :raises ValueError: if it isn't a load report.
    """
    try:
        fields = json.loads(line)
        return LoadReport(
            start=StartIdentity(str(fields["start"])),
            completed=int(fields["completed"]),
            running=int(fields["running"]),
            queued=int(fields["queued"]),
            token_time_us=int(fields["token_time_us"]),
            leaving=bool(fields["leaving"]),
            age_ms=max(0, int(fields["age_ms"])),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a load report: {error}") from error
