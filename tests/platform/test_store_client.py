"""Responses of a store, or of what has its address, that never end."""

import unittest

from figshunt.gateway import Address, SourceError
from figshunt.platform import PlatformStoreClient
from figshunt.standins import EndlessRunner
from tests.builders import MAX_ENDLESS_BYTES, build_endless_answer
from tests.gateway.fixture import LOOPBACK, wait_until


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
