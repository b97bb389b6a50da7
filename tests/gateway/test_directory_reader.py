"""How the published items are kept current while the store misbehaves."""

import asyncio
import random
import unittest
from collections.abc import Callable, Iterable

from figshunt.directory import (
    DirectoryMessage,
    EvacuationPublished,
    Item,
    RunnerUnlisted,
    SourceStateChanged,
)
from figshunt.gateway import (
    DirectoryReader,
    HistoryLostError,
    ItemOrigin,
    Listing,
    PublishedItems,
    SourceError,
)
from figshunt.gateway._directory_reader import GATHER_MS
from figshunt.runtime import EventLog
from figshunt.types import DataCentreName, ManualClock, Message, RunnerId

GENEROUS_S = 10.0

Answer = Listing | SourceError | Callable[[], Listing]


class ScriptedSource:
    """Answers calls in turn, and then lets every watch wait."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.calls: list[str] = []
        self.waits_ms: list[int] = []
        self.is_done = asyncio.Event()

    async def list_items(self) -> Listing:
        return await self._answer("list")

    async def watch(self, after_revision: int, wait_ms: int) -> Listing:
        self.waits_ms.append(wait_ms)
        return await self._answer(f"watch {after_revision}")

    async def close(self) -> None:
        pass

    async def _answer(self, call: str) -> Listing:
        self.calls.append(call)
        if not self.answers:
            self.is_done.set()
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, SourceError):
            raise answer
        return answer() if callable(answer) else answer


class RecordingFeed:
    def __init__(self) -> None:
        self.messages: list[Message] = []

    def feed(self, message: Message) -> None:
        self.messages.append(message)


class RunnerOnlyCodec:
    """Takes each key for a runner's, but for those of data centres."""

    def decode(
        self, items: Iterable[Item], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        for item in items:
            if item.value is None:
                runner_id = RunnerId(item.key)
                yield RunnerUnlisted(item.revision, runner_id, after_outage)
            else:
                yield EvacuationPublished(item.revision, DataCentreName(item.key), True)


class DirectoryReaderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against missed changes and against taking lapsed runners for gone."""

    async def read(self, *answers: Answer, hosts: int = 1) -> None:
        self.clock = getattr(self, "clock", ManualClock())
        self.source = ScriptedSource(*answers)
        self.feed = RecordingFeed()
        log = EventLog({})
        self.items = PublishedItems(RunnerOnlyCodec(), self.feed, log, lambda: None)
        reader = DirectoryReader(
            self.source, self.items, lambda: hosts, self.clock, log, random.Random(1)
        )
        await reader.start()
        async with asyncio.timeout(GENEROUS_S):
            await self.source.is_done.wait()
        await reader.stop()

    def unlisted(self) -> list[RunnerUnlisted]:
        return [one for one in self.feed.messages if isinstance(one, RunnerUnlisted)]

    async def test_watches_from_the_listing_on(self) -> None:
        await self.read(
            Listing((Item("a", 3, b"x"),), 5), Listing((Item("b", 6, b"y"),), 6)
        )
        self.assertEqual(["list", "watch 5", "watch 6"], self.source.calls)

    async def test_lists_again_when_history_is_lost(self) -> None:
        await self.read(
            Listing((Item("a", 3, b"x"),), 5),
            HistoryLostError("gone"),
            Listing((), 9),
        )
        self.assertEqual(["list", "watch 5", "list", "watch 9"], self.source.calls)
        (gone,) = self.unlisted()
        self.assertFalse(gone.after_outage)

    async def test_entry_that_vanished_in_an_outage_may_have_lapsed(self) -> None:
        self.clock = ManualClock()

        def after_outage() -> Listing:
            self.clock.advance(4_000)
            return Listing((Item("a", 7, None),), 7)

        await self.read(
            Listing((Item("a", 3, b"x"),), 5), SourceError("down"), after_outage
        )
        (gone,) = self.unlisted()
        self.assertTrue(gone.after_outage)

    async def test_entry_that_vanished_while_a_peer_read_the_store_is_gone(
        self,
    ) -> None:
        """Guards against sends to a runner that left, as the store serves others."""
        self.clock = ManualClock()

        def refuse() -> Listing:
            self.clock.advance(4_000)
            self.items.set_open(ItemOrigin.PEER, True, "peer reads")
            raise SourceError("status 503")

        await self.read(
            Listing((Item("a", 3, b"x"),), 5), refuse, Listing((Item("a", 7, None),), 7)
        )
        (gone,) = self.unlisted()
        self.assertFalse(gone.after_outage)

    async def test_quiet_watches_are_no_outage(self) -> None:
        self.clock = ManualClock()

        def late() -> Listing:
            self.clock.advance(9_000)
            return Listing((Item("a", 7, None),), 7)

        await self.read(Listing((Item("a", 3, b"x"),), 5), late)
        (gone,) = self.unlisted()
        self.assertFalse(gone.after_outage)

    async def test_failing_store_is_told_to_the_core(self) -> None:
        await self.read(Listing((), 5), SourceError("status 503"))
        states = [
            one.is_current
            for one in self.feed.messages
            if isinstance(one, SourceStateChanged)
        ]
        self.assertEqual([True, False], states)
        self.assertFalse(self.items.is_open(ItemOrigin.STORE))

    async def test_few_hosts_see_a_cut_watch_in_time(self) -> None:
        await self.read(Listing((), 5), Listing((), 5), hosts=5)
        self.assertLess(max(self.source.waits_ms), 2_000)

    async def test_many_hosts_wait_longer_at_different_times(self) -> None:
        await self.read(Listing((), 5), *[Listing((), 5)] * 20, hosts=40)
        self.assertGreater(max(self.source.waits_ms), 5_000)
        self.assertLess(min(self.source.waits_ms), 2_000)

    async def test_many_hosts_gather_changes_between_watches(self) -> None:
        """Guards against one priced call a host for each change."""
        started_s = asyncio.get_running_loop().time()
        changes = [Listing((Item("a", one, b"x"),), one) for one in (6, 7)]
        await self.read(Listing((), 5), *changes, hosts=40)
        passed_s = asyncio.get_running_loop().time() - started_s
        self.assertGreaterEqual(passed_s, 2 * GATHER_MS / 1000)

    async def test_few_hosts_ask_again_at_once(self) -> None:
        changes = [Listing((Item("a", one, b"x"),), one) for one in range(6, 106)]
        started_s = asyncio.get_running_loop().time()
        await self.read(Listing((), 5), *changes, hosts=5)
        passed_s = asyncio.get_running_loop().time() - started_s
        self.assertLess(passed_s, 100 * GATHER_MS / 1000)


if __name__ == "__main__":
    unittest.main()
