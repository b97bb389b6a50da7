"""Watchers of platform services and runners against misbehaving stand-ins."""

import asyncio
import json
import random
import unittest
from collections.abc import Callable

from aiohttp import web

from figshunt.runtime import EventLog
from figshunt.services import (
    HostListWatcher,
    LoadWatcher,
    TableDecoder,
    TableWatcher,
    decode_host_list,
)
from figshunt.standins import ConfigurationService, WebStandin
from figshunt.types import (
    HostListReceived,
    HostState,
    LoadReported,
    RunnerId,
    SystemClock,
    TableServiceRead,
    TablesReceived,
    TablesRefused,
)
from tests.builders import build_documents
from tests.recording_sink import RecordingMessageSink

REPEATED_REPORTS = 20
HOST = {"name": "runner-1", "data_centre": "accra-1", "state": "live"}


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


class HostListStandin(WebStandin):
    """Serves ``body`` as the host list."""

    body = b""

    def build_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/v1/hosts", self._list)
        return app

    async def _list(self, _request: web.Request) -> web.Response:
        return web.Response(body=self.body)


class HostListWatcherTest(unittest.IsolatedAsyncioTestCase):
    """Polling and validation of the host list."""

    async def test_invalid_list_is_skipped_and_change_is_passed_on_once(self) -> None:
        """Guards against a watcher that stops polling after an invalid list."""
        standin = HostListStandin()
        standin.body = b"no list"
        await standin.start()
        message_sink = RecordingMessageSink()
        watcher = HostListWatcher(
            standin.url, message_sink, SystemClock(), EventLog({}), random.Random(1)
        )
        await watcher.start()
        await asyncio.sleep(0.1)
        standin.body = json.dumps({"hosts": [HOST | {"state": "leaving"}]}).encode()
        await wait_until(lambda: message_sink.of_type(HostListReceived))
        await watcher.stop()
        await standin.stop()
        (message,) = message_sink.messages
        assert isinstance(message, HostListReceived)
        self.assertEqual(message.hosts[0].state, HostState.LEAVING)

    def test_invalid_lists_are_rejected(self) -> None:
        """Guards against using the valid entries of a list with an invalid one."""
        cases = [
            b"",
            b"[]",
            b'{"hosts": 1}',
            b'{"hosts": [1]}',
            json.dumps({"hosts": [HOST, HOST | {"state": "gone"}]}).encode(),
            json.dumps({"hosts": [HOST | {"name": ""}]}).encode(),
            json.dumps({"hosts": [{"name": "a"}]}).encode(),
            b"[" * 100_000,
        ]
        for data in cases:
            with self.subTest(data[:40]), self.assertRaises(ValueError):
                decode_host_list(data)


class TableWatcherTest(unittest.IsolatedAsyncioTestCase):
    """Reading of the tables from the configuration service."""

    async def asyncSetUp(self) -> None:
        self.service = ConfigurationService()
        await self.service.start()
        self.message_sink = RecordingMessageSink()
        self.watcher = TableWatcher(
            self.service.url, self.message_sink, TableDecoder(), random.Random(1)
        )
        await self.watcher.start()

    async def asyncTearDown(self) -> None:
        await self.watcher.stop()
        await self.service.stop()

    def publish(self, revision: int, names: tuple[str, ...]) -> None:
        documents = dict(zip(("routes", "pools"), build_documents(revision)))
        for name in names:
            self.service.publish(name, json.dumps(documents[name]))

    async def test_reads_only_while_enabled(self) -> None:
        """Guards against reads by seats that are not the reader of their cell."""
        self.publish(1, ("routes", "pools"))
        await asyncio.sleep(0.1)
        self.assertEqual(self.service.reads, 0)
        self.watcher.set_enabled(True)
        await wait_until(lambda: self.message_sink.of_type(TablesReceived))
        self.watcher.set_enabled(False)
        reads = self.service.reads
        await asyncio.sleep(0.2)
        self.assertEqual(self.service.reads, reads)

    async def test_partly_published_pair_differs_from_invalid_pair(self) -> None:
        """Guards against reporting an ordinary change of both tables as a fault.

        The tables are published one after the other, so their revisions differ in
        between.
        """
        self.publish(1, ("routes", "pools"))
        self.watcher.set_enabled(True)
        await wait_until(lambda: self.message_sink.of_type(TablesReceived))
        self.publish(2, ("routes",))
        await wait_until(lambda: self.message_sink.of_type(TablesRefused))
        (refusal,) = self.message_sink.of_type(TablesRefused)
        assert isinstance(refusal, TablesRefused)
        self.assertTrue(refusal.is_unpaired)
        self.assertEqual(refusal.revision, 2)
        self.assertIn("got 1", refusal.faults[0])
        self.service.publish("pools", "{]")
        await wait_until(lambda: len(self.message_sink.of_type(TablesRefused)) == 2)
        invalid = self.message_sink.of_type(TablesRefused)[1]
        assert isinstance(invalid, TablesRefused)
        self.assertFalse(invalid.is_unpaired)

    async def test_failed_reads_are_reported_and_retried(self) -> None:
        """Guards against a watcher that stops reading after a failure."""
        self.watcher.set_enabled(True)
        await wait_until(
            lambda: TableServiceRead(True) not in self.message_sink.messages
        )
        await wait_until(lambda: self.message_sink.of_type(TableServiceRead))
        self.publish(1, ("routes", "pools"))
        await wait_until(lambda: self.message_sink.of_type(TablesReceived))
        self.assertIn(TableServiceRead(True), self.message_sink.messages)


class RepeatingRunnerStandin(WebStandin):
    """Sends the same report many times, followed by a changed one."""

    def build_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/load", self._report)
        return app

    async def _report(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        report = {
            "start": "start-1",
            "completed": 1,
            "running": 0,
            "queued": 0,
            "token_time_us": 0,
            "leaving": False,
            "age_ms": 0,
        }
        unchanged = json.dumps(report).encode() + b"\n"
        changed = json.dumps(report | {"completed": 2}).encode() + b"\n"
        await response.write(unchanged * REPEATED_REPORTS + changed)
        await asyncio.Event().wait()
        return response


class LoadWatcherTest(unittest.IsolatedAsyncioTestCase):
    """Unchanged load reports must not cause work in the core."""

    async def test_unchanged_reports_are_suppressed(self) -> None:
        runner = RepeatingRunnerStandin()
        await runner.start()
        self.addAsyncCleanup(runner.stop)
        message_sink = RecordingMessageSink()
        watcher = LoadWatcher(message_sink, random.Random(1))
        await watcher.start()
        self.addAsyncCleanup(watcher.stop)
        watcher.set_runners({RunnerId("runner-1"): runner.url})

        def completed_counts() -> list[int]:
            return [
                message.report.completed
                for message in message_sink.messages
                if isinstance(message, LoadReported)
            ]

        await wait_until(lambda: 2 in completed_counts())
        self.assertLess(len(completed_counts()), REPEATED_REPORTS)
