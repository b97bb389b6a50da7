"""Callers that send more than the limits of a connection."""

import asyncio
import unittest
from unittest import mock

from aiohttp import web

from figshunt.runtime import (
    CallerBounds,
    CallerConnection,
    CallerFault,
    CallerLimits,
    CallerServer,
    EventLog,
    Metrics,
    RequestFraming,
)
from figshunt.types import Step, SystemClock

LOOPBACK = "127.0.0.1"
LIMITS = CallerLimits(head_bytes=1_000, head_timeout_s=0.3)
REQUEST = b"GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"
START = b"GET / HTTP/1.1\r\nHost: h.example\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
FILL = b"x" * 1_001

# What exceeds a limit, the fault, and the status of the response.
FAULTS = (
    (START + b"X: " + FILL, CallerFault.HEAD_TOO_LARGE, 431),
    (START + b"X: " + FILL + b"\r\n\r\n", CallerFault.HEAD_TOO_LARGE, 431),
    (START + b"X: b\r\n" + b" \r\n" * 400, CallerFault.HEAD_TOO_LARGE, 431),
    (b"\r\n" * 501, CallerFault.EMPTY_LINES, 400),
    (b"\n" * 1_001, CallerFault.EMPTY_LINES, 400),
    (CHUNKED + b"0\r\nX: " + FILL, CallerFault.TRAILER_TOO_LARGE, 400),
    (CHUNKED + b"0\r\n" + b"a:b\r\n" * 201, CallerFault.TRAILER_TOO_LARGE, 400),
    (CHUNKED + b"1;" + FILL + b"x" * 20, CallerFault.EXTENSIONS_TOO_LARGE, 400),
    (CHUNKED + b"0" * 1_020, CallerFault.EXTENSIONS_TOO_LARGE, 400),
    (CHUNKED + (b"1;" + b"x" * 90 + b"\r\na\r\n") * 20, None, 400),
)

# Whole requests that reach the limits and don't exceed them.
LARGEST = (
    START + b"X: " + b"x" * (1_000 - len(START) - 7) + b"\r\n\r\n",
    b"\r\n" * 500 + REQUEST,
    CHUNKED + b"1\r\nv\r\n0\r\nX: " + b"x" * 991 + b"\r\n\r\n",
    CHUNKED + b"3;" + b"x" * 990 + b"\r\nabc\r\n0\r\n\r\n",
    CHUNKED + (b"40;" + b"x" * 60 + b"\r\n" + b"v" * 64 + b"\r\n") * 90 + b"0\r\n\r\n",
)


class FramingLimitTest(unittest.TestCase):
    """Guards against bytes without end that the parser keeps or skips."""

    def test_texts_beyond_a_limit_are_a_fault_whatever_pieces_they_come_in(
        self,
    ) -> None:
        for data, fault, _ in FAULTS:
            for size in (1, 7, len(data)):
                with self.subTest(data[-40:], size=size):
                    framing = RequestFraming(LIMITS.head_bytes)
                    for start in range(0, len(data), size):
                        framing.feed(data[start : start + size])
                    self.assertIn(
                        framing.fault, (fault or CallerFault.EXTENSIONS_TOO_LARGE,)
                    )
                    self.assertEqual(0, framing.completed)

    def test_texts_within_the_limits_are_complete(self) -> None:
        for data in LARGEST:
            for size in (1, 7, len(data)):
                with self.subTest(data[-40:], size=size):
                    framing = RequestFraming(LIMITS.head_bytes)
                    for start in range(0, len(data), size):
                        framing.feed(data[start : start + size])
                    self.assertEqual((None, 1), (framing.fault, framing.completed))


class CallerLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.metrics = Metrics()
        self.hold_answer: asyncio.Event | None = None
        self.max_connections = 100
        self.bounds = CallerBounds(
            Step.CALLER_LISTENER,
            SystemClock(),
            EventLog({}),
            self.metrics.count,
            lambda: LIMITS,
            max_head_bytes=2_000,
        )
        self.http_server = web.Server(self.answer)
        self.server = CallerServer(
            lambda: CallerConnection(
                self.http_server, idle_timeout_s=60.0, **self.bounds.build_options()
            ),
            max_connections=lambda: self.max_connections,
        )
        await self.server.start(LOOPBACK, 0, backlog=16)
        self.addAsyncCleanup(self.server.close)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        try:
            await request.read()
        except web.RequestPayloadError:
            return web.Response(status=400)
        if self.hold_answer is not None:
            await self.hold_answer.wait()
        return web.Response()

    async def connect(
        self, data: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.server.port)
        # A writer that is dropped closes its connection.
        self.addCleanup(lambda: writer.transport.abort())
        writer.write(data)
        return reader, writer

    async def receive_status(self, reader: asyncio.StreamReader) -> int:
        async with asyncio.timeout(10.0):
            head = await reader.readuntil(b"\r\n\r\n")
            for line in head.split(b"\r\n"):
                if line.startswith(b"Content-Length: "):
                    await reader.readexactly(int(line.split()[1]))
        return int(head.split()[1])

    async def test_rest_of_a_request_is_refused_behind_whole_ones(self) -> None:
        """Guards against handlers that wait for a body that the parser has left."""
        for data, fault, status in FAULTS:
            with self.subTest(data[-40:]):
                reader, _ = await self.connect(REQUEST + data)
                self.assertEqual(200, await self.receive_status(reader))
                self.assertEqual(status, await self.receive_status(reader))
                self.assertEqual(b"", await asyncio.wait_for(reader.read(), 10.0))
                if fault is not None:
                    exposition = self.metrics.exposition().decode()
                    self.assertIn(f'faults_total{{fault="{fault.value}"}}', exposition)

    async def test_largest_requests_are_served(self) -> None:
        for data in LARGEST:
            with self.subTest(data[-40:]):
                reader, _ = await self.connect(data + REQUEST)
                self.assertEqual(200, await self.receive_status(reader))
                self.assertEqual(200, await self.receive_status(reader))

    async def test_malformed_body_ends_its_request(self) -> None:
        """Guards against requests that stay open for ever, with their connections."""
        for rest in (b"zz\r\n", b"0\r\n" + b"a:b\r\n" * 150 + b"\r\n", b"1\r\nabc"):
            with self.subTest(rest):
                reader, _ = await self.connect(CHUNKED + rest)
                self.assertEqual(400, await self.receive_status(reader))

    async def test_slow_head_is_refused_and_a_slow_body_is_not(self) -> None:
        length = START + b"Content-Length: 2\r\n\r\na"
        slow_body, body_writer = await self.connect(length)
        slow_head, _ = await self.connect(REQUEST + START)
        self.assertEqual(200, await self.receive_status(slow_head))
        self.assertEqual(408, await self.receive_status(slow_head))
        body_writer.write(b"b")
        self.assertEqual(200, await self.receive_status(slow_body))

    async def test_largest_holder_is_refused_for_memory(self) -> None:
        """Guards against large heads that keep out callers with small ones."""
        small, small_writer = await self.connect(START)
        large = []
        for _ in range(3):
            reader, _ = await self.connect(START + b"X: " + b"x" * 600)
            large.append(reader)
            await asyncio.sleep(0.02)
        self.assertEqual(503, await self.receive_status(large[0]))
        small_writer.write(b"\r\n")
        self.assertEqual(200, await self.receive_status(small))

    async def test_oldest_connections_without_a_request_are_closed(self) -> None:
        """Guards against idle connections that take all descriptors."""
        self.max_connections = 4
        used, used_writer = await self.connect(REQUEST)
        self.assertEqual(200, await self.receive_status(used))
        idle = [await self.connect(b"\r\n") for _ in range(8)]
        for reader, _ in idle[:5]:
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(reader.readexactly(1), 10.0)
        for reader, writer in ((used, used_writer), *idle[5:]):
            writer.write(REQUEST)
            self.assertEqual(200, await self.receive_status(reader))

    async def test_active_connections_and_uploads_are_closed_last(self) -> None:
        """Guards against old pooled connections that give way to new idle ones."""
        self.max_connections = 5
        pooled, pooled_writer = await self.connect(REQUEST)
        self.assertEqual(200, await self.receive_status(pooled))
        upload, upload_writer = await self.connect(
            START + b"Content-Length: 2\r\n\r\na"
        )
        idle = []
        for _ in range(3):
            idle.append(await self.connect(REQUEST))
            self.assertEqual(200, await self.receive_status(idle[-1][0]))
        pooled_writer.write(REQUEST)
        self.assertEqual(200, await self.receive_status(pooled))
        for _ in range(3):
            reader, _ = await self.connect(REQUEST)
            self.assertEqual(200, await self.receive_status(reader))
        for reader, _ in idle:
            with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(reader.readexactly(1), 10.0)
        upload_writer.write(b"b")
        pooled_writer.write(REQUEST)
        self.assertEqual(200, await self.receive_status(upload))
        self.assertEqual(200, await self.receive_status(pooled))

    async def test_refused_connection_is_kept_while_a_request_is_served(self) -> None:
        """Guards against valid requests that are aborted for bytes behind them."""
        self.max_connections = 1
        waiting = asyncio.Event()
        self.hold_answer = waiting
        refused, _ = await self.connect(REQUEST + START + b"X: " + FILL)
        await asyncio.sleep(0.1)
        await self.connect(REQUEST)
        await asyncio.sleep(0.1)
        waiting.set()
        self.assertEqual(200, await self.receive_status(refused))
        self.assertEqual(431, await self.receive_status(refused))

    async def test_senders_behind_a_close_are_closed_first(self) -> None:
        """Guards against callers that keep sending so that no other is accepted."""
        linger = "figshunt.runtime._caller_connection.LINGER_S"
        mock.patch(linger, 0.2).start()
        self.addCleanup(mock.patch.stopall)
        self.max_connections = 1
        closing, closing_writer = await self.connect(
            START + b"Connection: close\r\n\r\n"
        )
        self.assertEqual(200, await self.receive_status(closing))
        for _ in range(8):
            closing_writer.write(REQUEST)
            await asyncio.sleep(0.05)
        reader, _ = await self.connect(REQUEST)
        closing_writer.write(REQUEST)
        self.assertEqual(200, await self.receive_status(reader))

    def test_descriptors_limit_the_connections(self) -> None:
        """Guards against a process without a limit that takes no connection."""
        for descriptors, connections in ((1_000, 450), (-1, 471_859)):
            with mock.patch("resource.getrlimit", return_value=(descriptors, 0)):
                self.assertEqual(connections, self.bounds.compute_max_connections())

    async def test_unread_head_is_not_slow(self) -> None:
        """Guards against a 408 for a head that the host itself didn't read."""
        self.bounds._head_budget._max_bytes = 100_000
        checks = "figshunt.runtime._caller_connection.MAX_HEAD_CHECKS"
        mock.patch(checks, 1).start()
        self.addCleanup(mock.patch.stopall)
        waiting = asyncio.Event()
        self.hold_answer = waiting
        # The library queues 32 requests and then reads no more.
        pipelined = REQUEST * 40 + b"GET / HTTP/1.1\r\nHost:"
        reader, writer = await self.connect(pipelined)
        await asyncio.sleep(LIMITS.head_timeout_s / 2)
        writer.write(b" h.example\r\n\r\n")
        await asyncio.sleep(2 * LIMITS.head_timeout_s)
        waiting.set()
        for _ in range(41):
            self.assertEqual(200, await self.receive_status(reader))


if __name__ == "__main__":
    unittest.main()
