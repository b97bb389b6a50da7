"""Bounds of an entry host for its callers."""

import json
import unittest

from figshunt.directory import ConfigurationPublished, PublishedItem
from figshunt.gateway._front_listener import (
    IDLE_TIMEOUT_S,
    MAX_BODY_BYTES,
    build_caller_limits,
    compute_idle_timeout_s,
    compute_max_body_bytes,
)
from figshunt.gateway._memory_bounds import compute_caller_memory
from figshunt.platform import PlatformItemCodec
from figshunt.runtime import HEAD_TIMEOUT_S, MAX_HEAD_BYTES
from tests.gateway.fixture import (
    LOOPBACK,
    GatewayFixture,
    build_document,
)
from tests.harness import open_raw_caller

MEGABYTE = 1024 * 1024

# What an operator publishes, and the limits of a head and its time.
PUBLISHED = (
    (None, MAX_HEAD_BYTES, HEAD_TIMEOUT_S),
    ({}, MAX_HEAD_BYTES, HEAD_TIMEOUT_S),
    ({"maxHeaderBytes": 16_384}, MAX_HEAD_BYTES, HEAD_TIMEOUT_S),
    ({"maxHeaderBytes": 200_000}, 208_192, HEAD_TIMEOUT_S),
    ({"headerTimeoutMs": 2_500}, MAX_HEAD_BYTES, 3.5),
    ({"maxHeaderBytes": "x", "headerTimeoutMs": -1}, MAX_HEAD_BYTES, HEAD_TIMEOUT_S),
    ([1], MAX_HEAD_BYTES, HEAD_TIMEOUT_S),
)


class CallerBoundsTest(unittest.TestCase):
    def test_no_limit_is_below_a_published_one(self) -> None:
        """Guards against callers inside the published limits that are refused."""
        for published, head_bytes, head_timeout_s in PUBLISHED:
            with self.subTest(published):
                value = json.dumps(build_document(limits=published)).encode()
                item = PublishedItem("op/config", 1, value)
                (message,) = PlatformItemCodec().decode([item], after_outage=False)
                assert isinstance(message, ConfigurationPublished)
                limits = build_caller_limits(message.configuration.limits)
                self.assertEqual(head_bytes, limits.head_bytes)
                self.assertEqual(head_timeout_s, limits.head_timeout_s)

    def test_published_body_and_idle_time_extend_the_defaults(self) -> None:
        """Guards against larger bodies and longer pauses that are refused."""
        for published, body_bytes, idle_s in (
            ({"maxBodyBytes": 1_000, "idleTimeoutMs": 15_000}, MAX_BODY_BYTES, 60.0),
            ({"maxBodyBytes": 9_000_000}, 9_000_001, IDLE_TIMEOUT_S),
            ({"idleTimeoutMs": 90_000}, MAX_BODY_BYTES, 105.0),
            ({"maxBodyBytes": None, "idleTimeoutMs": "x"}, MAX_BODY_BYTES, 60.0),
        ):
            with self.subTest(published):
                value = json.dumps(build_document(limits=published)).encode()
                item = PublishedItem("op/config", 1, value)
                (message,) = PlatformItemCodec().decode([item], after_outage=False)
                assert isinstance(message, ConfigurationPublished)
                limits = message.configuration.limits
                self.assertEqual(body_bytes, compute_max_body_bytes(limits))
                self.assertEqual(idle_s, compute_idle_timeout_s(limits))

    def test_smaller_hosts_hold_less(self) -> None:
        """Guards against callers that take the memory of a small host."""
        for memory_mb in (40, 85, 136, 552):
            with self.subTest(memory_mb):
                memory = compute_caller_memory(memory_mb * MEGABYTE)
                spare_bytes = max(0, (0.9 * memory_mb - 60) * MEGABYTE)
                assert memory.max_connections is not None
                held_bytes = 3.5 * memory.max_head_bytes
                held_bytes += 9 * 1024 * memory.max_connections
                self.assertLess(held_bytes, 4 * MEGABYTE + 0.4 * spare_bytes)


class HeadMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_incomplete_request_is_refused_as_not_run(self) -> None:
        """Guards against an error that tells callers not to return."""
        async with GatewayFixture() as fixture:
            fixture.daemon.front._bounds._head_budget._max_bytes = 1_000
            caller = await open_raw_caller(LOOPBACK, fixture.daemon.front.port)
            assert caller is not None
            self.addCleanup(caller.close)
            head = b"POST /book/1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\n"
            pieces = [head + b"X: " + b"x" * 1_000 + b"\r\n\r\n", b"123456789"]
            exchange = await caller.exchange("", pieces, 5.0)
            assert exchange.response is not None
            self.assertEqual(503, exchange.response.status)
            self.assertIn(b"retry-after: 1", exchange.response.raw_head.lower())


if __name__ == "__main__":
    unittest.main()
