"""Hosts that can't read the store learn of changes from a peer."""

import asyncio
import random
import unittest
from collections.abc import Iterable

from figshunt.directory import (
    DirectoryMessage,
    EvacuationPublished,
    Item,
)
from figshunt.gateway import (
    Address,
    ItemOrigin,
    MirrorListener,
    MirrorReader,
    PublishedItems,
)
from figshunt.runtime import EventLog
from figshunt.types import DataCentreName, Message
from tests.builders import build_host_status
from tests.gateway.site import LOOPBACK, wait_until


class KeysOnlyCodec:
    def decode(
        self, items: Iterable[Item], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        for item in items:
            is_out = item.value is not None
            yield EvacuationPublished(item.revision, DataCentreName(item.key), is_out)


class NoFeed:
    def feed(self, message: Message) -> None:
        pass


def build_items() -> PublishedItems:
    return PublishedItems(KeysOnlyCodec(), NoFeed(), EventLog({}), lambda: None)


class MirrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that serves by old state while a peer knows better."""

    async def asyncSetUp(self) -> None:
        self.peer_items = build_items()
        self.own_items = build_items()
        self.peer_items.set_open(ItemOrigin.STORE, True, "test")
        self.peer_items.merge([Item("a", 5, b"x")], 5)
        listener = MirrorListener(Address(LOOPBACK, 0), self.peer_items)
        await listener.start()
        self.addAsyncCleanup(listener.stop)
        self.reader = MirrorReader(
            self.own_items,
            listener.port,
            lambda: [
                build_host_status(
                    address=LOOPBACK,
                    revision=self.peer_items.revision,
                    is_current=self.peer_items.is_open(ItemOrigin.STORE),
                )
            ],
            EventLog({}),
            random.Random(1),
        )

    async def start_reader(self) -> None:
        await self.reader.start()
        self.addAsyncCleanup(self.reader.stop)

    async def test_host_that_is_turned_away_reads_everything_and_changes(self) -> None:
        await self.start_reader()
        await wait_until(lambda: self.own_items.revision == 5)
        self.peer_items.merge([Item("a", 8, None), Item("b", 9, b"y")], 9)
        await wait_until(lambda: self.own_items.revision == 9)
        held = {item.key: item.value for item in self.own_items.all_items()}
        self.assertEqual({"a": None, "b": b"y"}, held)

    async def test_host_whose_watch_is_silent_reads_what_it_missed(self) -> None:
        self.own_items.set_open(ItemOrigin.STORE, True, "test")
        self.own_items.merge([], 4)
        await self.start_reader()
        await wait_until(lambda: self.own_items.revision == 5)

    async def test_host_that_reads_the_store_opens_no_mirror(self) -> None:
        self.own_items.set_open(ItemOrigin.STORE, True, "test")
        self.own_items.merge([Item("a", 5, b"x")], 5)
        await self.start_reader()
        await asyncio.sleep(0.5)
        self.assertFalse(self.own_items.is_open(ItemOrigin.PEER))

    async def test_host_that_starts_in_an_outage_takes_what_peers_hold(self) -> None:
        self.peer_items.set_open(ItemOrigin.STORE, False, "down")
        await self.start_reader()
        await wait_until(lambda: self.own_items.revision == 5)
        self.assertFalse(self.own_items.is_open(ItemOrigin.PEER))

    async def test_peer_that_lost_the_store_is_left(self) -> None:
        await self.start_reader()
        await wait_until(lambda: self.own_items.is_open(ItemOrigin.PEER))
        self.peer_items.set_open(ItemOrigin.STORE, False, "down")
        await wait_until(lambda: not self.own_items.is_open(ItemOrigin.PEER))


if __name__ == "__main__":
    unittest.main()
