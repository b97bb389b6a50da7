"""Hosts that can't read the store get the published items from a peer."""

import asyncio
import random
import time
import unittest
from collections.abc import Iterable

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from figshunt.directory import (
    DirectoryMessage,
    EvacuationPublished,
    PublishedItem,
)
from figshunt.gateway import (
    Address,
    BootClock,
    ItemOrigin,
    MirrorListener,
    MirrorReader,
    OutageRecord,
    PublishedItems,
)
from figshunt.runtime import EventLog
from figshunt.types import DataCentreName, ManualClock, Message, Moment, Version
from tests.builders import build_host_status, build_item
from tests.gateway.fixture import LOOPBACK, wait_until

TURN_S = 0.12


class StubItemCodec:
    """Decodes each item as an evacuation and records which have lapsed."""

    def __init__(self) -> None:
        self.lapsed_keys: list[str] = []

    def decode(
        self, items: Iterable[PublishedItem], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        if after_outage:
            self.lapsed_keys += [item.key for item in items if item.value is None]
        for item in items:
            is_evacuated = item.value is not None
            yield EvacuationPublished(
                item.version, DataCentreName(item.key), is_evacuated
            )


class DiscardingMessageSink:
    def submit(self, message: Message) -> None:
        pass


def build_items(codec: StubItemCodec | None = None) -> PublishedItems:
    return PublishedItems(
        codec or StubItemCodec(), DiscardingMessageSink(), EventLog({}), lambda: None
    )


class MirrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against serving with outdated items while a peer has a newer revision."""

    async def asyncSetUp(self) -> None:
        self.peer_items = build_items()
        self.own_codec = StubItemCodec()
        self.own_items = build_items(self.own_codec)
        self.clock = ManualClock(Moment(100_000, 0))
        self.outage = OutageRecord(self.clock)
        self.peer_items.set_available(ItemOrigin.STORE, True, "test")
        self.peer_items.merge([build_item("a", 5, b"x")], Version.of(0, 5))
        listener = MirrorListener(Address(LOOPBACK, 0), self.peer_items, EventLog({}))
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        self.reader = MirrorReader(
            self.own_items,
            self.outage,
            listener.port,
            lambda: [
                build_host_status(
                    address=LOOPBACK,
                    revision=self.peer_items.version.revision,
                    era=self.peer_items.version.era,
                    can_read_store=self.peer_items.is_available(ItemOrigin.STORE),
                )
            ],
            BootClock(),
            EventLog({}),
            random.Random(1),
        )

        self.listener_port = listener.port

    async def test_connection_that_sends_much_is_closed(self) -> None:
        """Guards against peers that fill the memory of a host which reads nothing."""
        url = f"ws://{LOOPBACK}:{self.listener_port}"
        async with connect(url, compression=None, proxy=None) as connection:
            await connection.send(b"x" * 100_000)
            with self.assertRaises(ConnectionClosed) as caught:
                async with asyncio.timeout(5):
                    while True:
                        await connection.recv()
        assert caught.exception.rcvd is not None
        self.assertEqual(CloseCode.MESSAGE_TOO_BIG, caught.exception.rcvd.code)

    async def start_reader(self) -> None:
        await self.reader.start()
        self.addAsyncCleanup(self.reader.stop)

    async def test_host_without_store_access_reads_all_items_and_changes(self) -> None:
        await self.start_reader()
        await wait_until(lambda: self.own_items.version.revision == 5)
        self.peer_items.merge(
            [build_item("a", 8, None), build_item("b", 9, b"y")], Version.of(0, 9)
        )
        await wait_until(lambda: self.own_items.version.revision == 9)
        values_by_key = {item.key: item.value for item in self.own_items.all_items()}
        self.assertEqual({"a": None, "b": b"y"}, values_by_key)

    async def test_host_without_store_access_follows_restores_of_the_store(
        self,
    ) -> None:
        """Guards against a host that stays in an older era, or returns to it."""
        await self.start_reader()
        await wait_until(lambda: self.own_items.version.revision == 5)
        for era in (1, 2):
            self.peer_items.replace([], Version.of(era, 3))
            await wait_until(lambda: self.own_items.version == Version.of(era, 3))
            self.assertEqual(self.peer_items.all_items(), self.own_items.all_items())

    async def test_overloaded_host_reads_from_a_peer(self) -> None:
        """Guards against a host whose every attempt ends before its own loop is done.

        Each turn of the loop is as long as on a host with 0.39 of a core at peak load.
        """
        loop = asyncio.get_running_loop()

        def block_turn() -> None:
            time.sleep(TURN_S)
            if not self.own_items.version.revision:
                loop.call_soon(block_turn)

        loop.call_soon(block_turn)
        await self.start_reader()
        await wait_until(lambda: self.own_items.version.revision == 5)

    async def test_host_with_a_cut_watch_reads_missed_changes(self) -> None:
        self.own_items.set_available(ItemOrigin.STORE, True, "test")
        self.own_items.merge([], Version.of(0, 4))
        await self.start_reader()
        await wait_until(lambda: self.own_items.version.revision == 5)

    async def read_copy_of_restarted_peer(self) -> None:
        """Read the copy of a peer that listed the store after "gone" was deleted."""
        self.own_items.merge([build_item("gone", 3, b"z")], Version.of(0, 4))
        await self.start_reader()
        await wait_until(lambda: self.own_items.version.revision == 5)

    async def test_item_that_a_restarted_peer_never_saw_is_deleted(self) -> None:
        """Guards against a runner that gets requests for good after it has left."""
        await self.read_copy_of_restarted_peer()
        values_by_key = {item.key: item.value for item in self.own_items.all_items()}
        self.assertEqual({"a": b"x", "gone": None}, values_by_key)
        self.assertEqual([], self.own_codec.lapsed_keys)

    async def test_item_missing_from_a_copy_after_an_outage_may_have_lapsed(
        self,
    ) -> None:
        """Guards against dropping all runners whose entries expired in the outage."""
        self.outage.record_failure(self.clock.now().monotonic_ms, False)
        self.clock.advance(4_000)
        await self.read_copy_of_restarted_peer()
        self.assertEqual(["gone"], self.own_codec.lapsed_keys)

    async def test_deletion_with_the_revision_of_its_item_is_forwarded(self) -> None:
        """A listing deletes an item that it lacks at the listing's revision."""
        await self.start_reader()
        await wait_until(lambda: self.own_items.version.revision == 5)
        self.peer_items.replace([], Version.of(0, 5))
        await wait_until(
            lambda: [item.value for item in self.own_items.all_items()] == [None]
        )

    async def test_current_host_does_not_read_from_a_peer(self) -> None:
        self.own_items.set_available(ItemOrigin.STORE, True, "test")
        self.own_items.merge([build_item("a", 5, b"x")], Version.of(0, 5))
        await self.start_reader()
        await asyncio.sleep(0.5)
        self.assertFalse(self.own_items.is_available(ItemOrigin.PEER))

    async def test_host_started_in_an_outage_reads_a_peers_copy(self) -> None:
        self.peer_items.set_available(ItemOrigin.STORE, False, "down")
        await self.start_reader()
        await wait_until(lambda: self.own_items.version.revision == 5)
        self.assertFalse(self.own_items.is_available(ItemOrigin.PEER))

    async def test_reader_disconnects_from_a_peer_that_lost_the_store(self) -> None:
        await self.start_reader()
        await wait_until(lambda: self.own_items.is_available(ItemOrigin.PEER))
        self.peer_items.set_available(ItemOrigin.STORE, False, "down")
        await wait_until(lambda: not self.own_items.is_available(ItemOrigin.PEER))


if __name__ == "__main__":
    unittest.main()
