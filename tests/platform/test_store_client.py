"""Responses of a store, or of what has its address, that never end."""

import unittest

from figshunt.gateway import Address, HistoryLostError, SourceError
from figshunt.platform import PlatformStoreClient
from figshunt.standins import EndlessRunner, PlatformStore
from figshunt.types import Version
from tests.builders import MAX_ENDLESS_BYTES, build_endless_answer
from tests.gateway.fixture import LOOPBACK, wait_until


class EraTest(unittest.IsolatedAsyncioTestCase):
    """Guards against reading a restored store as if nothing had been lost."""

    async def test_answers_carry_the_era_and_a_later_watch_fails(self) -> None:
        store = PlatformStore()
        await store.start()
        self.addAsyncCleanup(store.stop)
        client = PlatformStoreClient(Address(LOOPBACK, store.port))
        self.addAsyncCleanup(client.close)
        copy = store.copy()
        store.put("op/late", b"x")
        before = await client.list_items()
        store.restore(copy)
        after = await client.list_items()
        self.assertEqual(
            [Version.of(0, 2), Version.of(1, 1)], [before.version, after.version]
        )
        with self.assertRaises(HistoryLostError):
            await client.watch(before.version, 10)


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that reads an endless response until it has no memory."""

    async def test_endless_response_is_cut_off(self) -> None:
        store = EndlessRunner(build_endless_answer("application/json", b"["), b"1, ")
        await store.start()
        self.addAsyncCleanup(store.stop)
        client = PlatformStoreClient(Address(LOOPBACK, store.port))
        self.addAsyncCleanup(client.close)
        with self.assertRaisesRegex(SourceError, "Oversized"):
            await client.list_items()
        await wait_until(lambda: not store.open_connections)
        self.assertLess(store.sent_bytes, MAX_ENDLESS_BYTES)


if __name__ == "__main__":
    unittest.main()
