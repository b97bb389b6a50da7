"""Plain service, configuration service, host list, load reports and prefix cache."""

import asyncio
import random
import unittest

import aiohttp

from figshunt.standins import (
    ConfigurationMode,
    ConfigurationService,
    HostListService,
    LoadHistory,
    PlainProfile,
    PlainService,
    PrefixCache,
    ReportProfile,
    RunnerState,
)
from figshunt.types import ManualClock


class PlainServiceTest(unittest.IsolatedAsyncioTestCase):
    """Guards the check of promise 7 against duplicate runs that go undetected.

    The replay report and the integration tests use these counters to detect
    that an idempotency key ran more than once.
    """

    async def test_every_run_is_counted_by_key(self) -> None:
        service = PlainService(PlainProfile(service_ms=1), random.Random(1))
        await service.start()
        self.addAsyncCleanup(service.stop)
        async with aiohttp.ClientSession(service.url) as session:
            for key in ("a", "b", "a"):
                headers = {"Idempotency-Key": key}
                async with session.post("/book", headers=headers) as response:
                    self.assertEqual((await response.json())["key"], key)
            async with session.get("/standin/runs") as response:
                self.assertEqual((await response.json())["by_key"], {"a": 2, "b": 1})


class ConfigurationServiceTest(unittest.IsolatedAsyncioTestCase):
    """Reads and watches in each mode of the service."""

    async def test_readers_in_each_mode(self) -> None:
        service = ConfigurationService()
        await service.start()
        self.addAsyncCleanup(service.stop)
        service.publish("routes", "one")
        async with aiohttp.ClientSession(service.url) as session:

            async def read(query: str = "") -> str:
                async with session.get(f"/v1/values/routes{query}") as response:
                    return await response.text()

            self.assertEqual(await read(), "one")
            service.set_mode(ConfigurationMode.STALE)
            service.publish("routes", "two")
            self.assertEqual(await read(), "one")
            watch = asyncio.create_task(read("?after=1&wait_ms=30000"))
            await asyncio.sleep(0)
            service.set_mode(ConfigurationMode.UP)
            self.assertEqual(await watch, "two")
            service.set_mode(ConfigurationMode.DOWN)
            with self.assertRaises(aiohttp.ClientError):
                await read()
        self.assertGreaterEqual(service.reads, 4)


class LagAndCacheTest(unittest.TestCase):
    """Delayed changes, reports and cache events, in virtual time."""

    def setUp(self) -> None:
        self.clock = ManualClock()

    def test_host_list_changes_become_visible_after_the_lag(self) -> None:
        host_list = HostListService(self.clock, lag_ms=1000)
        host_list.set_host("host-a", {"state": "live"})
        self.assertEqual(host_list.visible_hosts(), [])
        self.clock.advance(1000)
        expected_hosts = [{"name": "host-a", "state": "live"}]
        self.assertEqual(host_list.visible_hosts(), expected_hosts)
        host_list.set_host("host-a", None)
        self.assertEqual(host_list.visible_hosts(), expected_hosts)
        self.clock.advance(1000)
        self.assertEqual(host_list.visible_hosts(), [])

    def test_lagging_report_contains_its_actual_age_only_if_configured(self) -> None:
        for reports_actual_age, age_ms in ((True, 500), (False, 0)):
            with self.subTest(reports_actual_age=reports_actual_age):
                state = RunnerState(random.Random(1), cold_limit=2, warm_after=0)
                profile = ReportProfile(
                    lag_ms=500, reports_actual_age=reports_actual_age
                )
                history = LoadHistory(profile, self.clock)
                for _ in range(4):
                    history.record(state.snapshot())
                    self.clock.advance(250)
                    state.add_request()
                report = history.report()
                self.assertEqual((report["running"], report["age_ms"]), (2, age_ms))
                state.restart()
                history.record(state.snapshot())
                self.assertEqual(history.report()["start"], state.start_identity)

    def test_cache_evicts_least_recently_used_blocks_and_delays_events(self) -> None:
        cache = PrefixCache(2, self.clock, random.Random(1), lag_ms=500, gap_share=0)
        for prefixes in (["a"], ["b"], ["a"], ["c"]):
            cache.store(prefixes)
        self.assertEqual([cache.count_cached([prefix]) for prefix in "abc"], [1, 0, 1])
        self.assertEqual(list(cache.events_after(-1)), [])
        self.clock.advance(500)
        kinds = [(event.kind.value, event.prefix) for event in cache.events_after(1)]
        self.assertEqual(kinds, [("stored", "c"), ("evicted", "b")])

    def test_lost_cache_events_leave_a_gap_in_the_sequence(self) -> None:
        cache = PrefixCache(1000, self.clock, random.Random(1), 0, gap_share=0.2)
        cache.store([str(number) for number in range(100)])
        sequences = [event.sequence for event in cache.events_after(-1)]
        self.assertTrue(60 < len(sequences) < 100 and sequences == sorted(sequences))
