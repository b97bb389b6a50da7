"""Reads a stream of load reports from every runner."""

import asyncio
import json
import random
from collections.abc import Mapping

import aiohttp
from mode import Service

from figshunt.runtime import MessageSink, check_status
from figshunt.types import (
    ColdEvidence,
    LoadReport,
    LoadReported,
    RunnerId,
    RunnerUnreachable,
    StartIdentity,
)

RECONNECT_DELAY_MS = 200
SOCKET_TIMEOUT_S = 3.0

# Unchanged reports only show that the runner is alive; one per second is well
# within the 3 s after which a report counts as stale.
UNCHANGED_REPORT_INTERVAL_S = 1.0


class LoadWatcher(Service):
    """Keeps one connection to each runner; its loss is evidence of a restart.

    The connection closes as soon as the runner process ends, so a restart is
    detected well before the next report is due.
    """

    def __init__(self, message_sink: MessageSink, random_source: random.Random) -> None:
        super().__init__()
        self._message_sink = message_sink
        self._random = random_source
        self._session: aiohttp.ClientSession | None = None
        self._tasks_by_runner: dict[RunnerId, asyncio.Task[None]] = {}

    async def on_start(self) -> None:
        """Open the client session."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=SOCKET_TIMEOUT_S, sock_read=SOCKET_TIMEOUT_S
            ),
        )

    async def on_stop(self) -> None:
        """Close all streams."""
        self.set_runners({})
        if self._session is not None:
            await self._session.close()

    def set_runners(self, urls_by_runner: Mapping[RunnerId, str]) -> None:
        """Replace the set of runners whose load reports are read."""
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
            self._message_sink.submit(RunnerUnreachable(runner_id, evidence))
            delay_ms = RECONNECT_DELAY_MS * (0.5 + self._random.random())
            await asyncio.sleep(delay_ms / 1000)

    async def _read_reports(self, runner_id: RunnerId, url: str) -> None:
        assert self._session is not None
        async with self._session.get(f"{url}/load?watch=1") as response:
            check_status(response)
            response.raise_for_status()
            last_line = b""
            last_submitted_s = 0.0
            async for line in response.content:
                now_s = asyncio.get_running_loop().time()
                if (
                    line == last_line
                    and now_s - last_submitted_s < UNCHANGED_REPORT_INTERVAL_S
                ):
                    continue
                last_line, last_submitted_s = line, now_s
                self._message_sink.submit(
                    LoadReported(runner_id, decode_load_report(line))
                )


def decode_load_report(line: bytes) -> LoadReport:
    """Decode one line of a load stream.

    :raises ValueError: if the line isn't a valid load report.
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
        raise ValueError(f"invalid load report: {error}") from error
