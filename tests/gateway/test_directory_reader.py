"""The copy of the published items is kept current while the store fails."""

import asyncio
import random
import unittest
from collections.abc import Callable, Iterable

from figshunt.directory import (
    DirectoryMessage,
    EvacuationPublished,
    PublishedItem,
    RunnerUnlisted,
    SourceStateChanged,
)
from figshunt.gateway import (
    DirectoryReader,
    HistoryLostError,
    ItemOrigin,
    Listing,
    OutageRecord,
    PublishedItems,
    SourceError,
)
from figshunt.gateway._directory_reader import MIN_BATCH_DELAY_MS, MIN_RETRY_DELAY_MS
from figshunt.runtime import EventLog
from figshunt.types import DataCentreName, ManualClock, Message, RunnerId, Version
from tests.builders import build_item, build_listing

READ_TIMEOUT_S = 10.0

ScriptedResult = Listing | SourceError | Callable[[], Listing]


class ScriptedSource:
    """Returns or raises the scripted results in turn; further calls never return."""

    def __init__(self, *results: ScriptedResult) -> None:
        self.results = list(results)
        self.calls: list[str] = []
        self.watch_waits_ms: list[int] = []
        self.exhausted = asyncio.Event()

    async def list_items(self) -> Listing:
        return await self._next_result("list")

    async def watch(self, after: Version, wait_ms: int) -> Listing:
        self.watch_waits_ms.append(wait_ms)
        return await self._next_result(f"watch {after.revision}")

    async def close(self) -> None:
        pass

    async def _next_result(self, call: str) -> Listing:
        self.calls.append(call)
        if not self.results:
            self.exhausted.set()
            await asyncio.Event().wait()
        result = self.results.pop(0)
        if isinstance(result, SourceError):
            raise result
        return result() if callable(result) else result


class RecordingMessageSink:
    def __init__(self) -> None:
        self.messages: list[Message] = []

    def submit(self, message: Message) -> None:
        self.messages.append(message)


class StubItemCodec:
    """Decodes a deleted item as an unlisted runner, and any other as an evacuation."""

    def decode(
        self, items: Iterable[PublishedItem], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        for item in items:
            if item.value is None:
                runner_id = RunnerId(item.key)
                yield RunnerUnlisted(item.version, runner_id, after_outage)
            else:
                yield EvacuationPublished(item.version, DataCentreName(item.key), True)


class DirectoryReaderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against missed changes, and against dropping runners that only lapsed."""

    async def read(self, *results: ScriptedResult, hosts: int = 1) -> None:
        self.clock = getattr(self, "clock", ManualClock())
        self.source = ScriptedSource(*results)
        self.message_sink = RecordingMessageSink()
        log = EventLog({})
        self.items = PublishedItems(
            StubItemCodec(), self.message_sink, log, lambda: None
        )
        reader = DirectoryReader(
            self.source,
            self.items,
            OutageRecord(self.clock),
            lambda: hosts,
            self.clock,
            log,
            random.Random(1),
        )
        await reader.start()
        async with asyncio.timeout(READ_TIMEOUT_S):
            await self.source.exhausted.wait()
        await reader.stop()

    def unlisted_runners(self) -> list[RunnerUnlisted]:
        return [
            message
            for message in self.message_sink.messages
            if isinstance(message, RunnerUnlisted)
        ]

    async def test_watch_starts_at_the_listed_revision(self) -> None:
        await self.read(
            build_listing((build_item("a", 3, b"x"),), 5),
            build_listing((build_item("b", 6, b"y"),), 6),
        )
        self.assertEqual(["list", "watch 5", "watch 6"], self.source.calls)

    async def test_lists_again_when_history_is_lost(self) -> None:
        await self.read(
            build_listing((build_item("a", 3, b"x"),), 5),
            HistoryLostError("gone"),
            build_listing((), 9),
        )
        self.assertEqual(["list", "watch 5", "list", "watch 9"], self.source.calls)
        (message,) = self.unlisted_runners()
        self.assertFalse(message.after_outage)

    async def test_answer_of_another_era_leads_to_a_listing(self) -> None:
        """Guards against changes that are missed as their revisions came before."""
        await self.read(
            build_listing((), 5),
            build_listing((build_item("a", 9, era=1),), 9, 1),
            build_listing((), 3, 1),
        )
        self.assertEqual(["list", "watch 5", "list", "watch 3"], self.source.calls)

    async def test_eras_in_alternation_lead_to_pauses(self) -> None:
        """Guards against calls without a pause, each of which has a price."""
        alternation = (build_listing((), 3, 2), build_listing((), 9, 1))
        started_s = asyncio.get_running_loop().time()
        await self.read(*alternation * 4)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertGreaterEqual(elapsed_s, 3 * 0.5 * MIN_RETRY_DELAY_MS / 1000)

    async def test_entry_removed_in_an_outage_may_have_lapsed(self) -> None:
        self.clock = ManualClock()

        def after_outage() -> Listing:
            self.clock.advance(4_000)
            return build_listing((build_item("a", 7, None),), 7)

        await self.read(
            build_listing((build_item("a", 3, b"x"),), 5),
            SourceError("down"),
            after_outage,
        )
        (message,) = self.unlisted_runners()
        self.assertTrue(message.after_outage)

    async def test_entry_removed_while_a_peer_reads_the_store_has_not_lapsed(
        self,
    ) -> None:
        """Guards against requests to a runner that has left.

        A peer can read the store, so the runner could have renewed its entry.
        """
        self.clock = ManualClock()

        def refuse() -> Listing:
            self.clock.advance(4_000)
            self.items.set_available(ItemOrigin.PEER, True, "peer reads")
            raise SourceError("status 503")

        await self.read(
            build_listing((build_item("a", 3, b"x"),), 5),
            refuse,
            build_listing((build_item("a", 7, None),), 7),
        )
        (message,) = self.unlisted_runners()
        self.assertFalse(message.after_outage)

    async def test_long_watch_is_not_an_outage(self) -> None:
        self.clock = ManualClock()

        def return_late() -> Listing:
            self.clock.advance(9_000)
            return build_listing((build_item("a", 7, None),), 7)

        await self.read(build_listing((build_item("a", 3, b"x"),), 5), return_late)
        (message,) = self.unlisted_runners()
        self.assertFalse(message.after_outage)

    async def test_source_failure_is_reported_to_the_core(self) -> None:
        await self.read(build_listing((), 5), SourceError("status 503"))
        states = [
            message.is_current
            for message in self.message_sink.messages
            if isinstance(message, SourceStateChanged)
        ]
        self.assertEqual([True, False], states)
        self.assertFalse(self.items.is_available(ItemOrigin.STORE))

    async def test_few_hosts_use_short_watches(self) -> None:
        """Guards against a watch cut without an error that hides changes too long.

        The cut is only noticed when the watch ends, and a change must take effect
        within 2 s.
        """
        await self.read(build_listing((), 5), build_listing((), 5), hosts=5)
        self.assertLess(max(self.source.watch_waits_ms), 2_000)

    async def test_many_hosts_use_watches_of_varied_length(self) -> None:
        """Guards against watches that are all long or all end at the same time.

        One watch that ends soon is enough, since its host announces a newer
        revision to the others.
        """
        await self.read(build_listing((), 5), *[build_listing((), 5)] * 20, hosts=40)
        self.assertGreater(max(self.source.watch_waits_ms), 5_000)
        self.assertLess(min(self.source.watch_waits_ms), 2_000)

    async def test_many_hosts_delay_the_next_watch(self) -> None:
        """Without the delay each change would cost a priced call per host."""
        started_s = asyncio.get_running_loop().time()
        changes = [
            build_listing((build_item("a", revision, b"x"),), revision)
            for revision in (6, 7)
        ]
        await self.read(build_listing((), 5), *changes, hosts=40)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertGreaterEqual(elapsed_s, 2 * MIN_BATCH_DELAY_MS / 1000)

    async def test_calls_of_a_large_fleet_are_bounded_while_the_store_fails(
        self,
    ) -> None:
        """Guards against hundreds of calls per second, each of which has a price."""
        hosts = 80
        max_fleet_calls_per_s = 250
        failures = [SourceError("reset")] * 6
        started_s = asyncio.get_running_loop().time()
        await self.read(*failures, build_listing((), 5), hosts=hosts)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        calls_per_s = hosts * len(failures) / elapsed_s
        self.assertLess(calls_per_s, max_fleet_calls_per_s)

    async def test_few_hosts_watch_again_without_delay(self) -> None:
        changes = [
            build_listing((build_item("a", revision, b"x"),), revision)
            for revision in range(6, 106)
        ]
        started_s = asyncio.get_running_loop().time()
        await self.read(build_listing((), 5), *changes, hosts=5)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        self.assertLess(elapsed_s, 100 * MIN_BATCH_DELAY_MS / 1000)


if __name__ == "__main__":
    unittest.main()
