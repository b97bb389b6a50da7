"""A host, its runners and a store that is restored from a copy."""

import unittest

from figshunt.types import PoolName
from tests.gateway.fixture import GatewayFixture, build_document, wait_until

REVISIONS_SINCE_COPY = 900
DATA_CENTRE_MARK = "op/evacuate/a"


class StoreRestoreTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that ignores a restored store until it has caught up."""

    async def test_later_writes_apply_and_a_removed_runner_stays_out(self) -> None:
        host = await self.enterAsyncContext(GatewayFixture())
        store, directory = host.store, host.daemon.core.directory
        removed, running = host.bookings

        def are_used(*runner_ids: str) -> bool:
            return set(directory.runners(PoolName("bookings"))) == set(runner_ids)

        def has_version(version: int) -> bool:
            configuration = directory.configuration
            return configuration is not None and configuration.version == version

        copy = store.copy()
        for _ in range(REVISIONS_SINCE_COPY):
            store.put("op/other", b"x")
        store.put("op/config", build_document(version=5))
        store.delete(f"servers/{removed.runner_id}")
        await wait_until(lambda: are_used(running.runner_id) and has_version(5))
        store.restore(copy)
        await wait_until(lambda: host.daemon.items.version.era == 1)
        entry = running.build_store_entry("bookings", seq=2)
        store.put("servers/new", entry)
        await wait_until(lambda: are_used(running.runner_id, "new"))
        self.assertTrue(has_version(5))
        store.put("op/config", build_document(version=6))
        await wait_until(lambda: has_version(6))
        async with host.request("GET", "/look/1") as response:
            self.assertEqual(200, response.status)
        self.assertEqual([], removed.arrivals)

    async def test_operator_writes_before_any_host_has_listed_the_new_era(self) -> None:
        """Guards against a data centre that stays as it was before the restore.

        The revisions of these writes were issued before, and are below that of the
        first listing.
        """
        for is_out in (True, False):
            with self.subTest(is_out=is_out):
                host = await self.enterAsyncContext(GatewayFixture())
                store, directory = host.store, host.daemon.core.directory

                def has_runners(expected: bool) -> bool:
                    return bool(directory.runners(PoolName("bookings"))) is expected

                if not is_out:
                    store.put(DATA_CENTRE_MARK, {})
                    await wait_until(lambda: has_runners(False))
                copy = store.copy()
                for version in (5, 6, 7):
                    store.put("op/config", build_document(version=version))
                await wait_until(lambda: directory.configuration.version == 7)
                store.restore(copy)
                store.put("op/config", build_document(version=7))
                if is_out:
                    store.put(DATA_CENTRE_MARK, {})
                else:
                    store.delete(DATA_CENTRE_MARK)
                await wait_until(lambda: has_runners(not is_out))


if __name__ == "__main__":
    unittest.main()
