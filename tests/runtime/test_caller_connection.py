"""Connections of callers that end only between requests."""

import asyncio
import re
import socket
import ssl
import time
import tracemalloc
import unittest

from aiohttp import web
from aiohttp.web_protocol import MAX_MSG_QUEUE_SIZE

from figshunt.runtime import CallerConnection, CallerServer
from figshunt.runtime._caller_connection import LINGER_S
from figshunt.runtime._caller_server import HANDSHAKE_TIMEOUT_S

LOOPBACK = "127.0.0.1"
SLOW_ANSWER_S = 0.6
LONG_S = 60.0
REQUEST = b"GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"


async def answer(request: web.BaseRequest) -> web.Response:
    if request.path == "/large":
        size = int(request.query.get("size", 32 * 1024 * 1024))
        return web.Response(body=b"v" * size)
    if request.path == "/slow":
        await asyncio.sleep(SLOW_ANSWER_S)
    if request.path == "/refused":
        response = web.Response(status=503)
        response.force_close()
        return response
    return web.Response()


def build_anonymous_tls(protocol: int) -> ssl.SSLContext:
    """Return a context that needs no certificate."""
    context = ssl.SSLContext(protocol)
    context.maximum_version = ssl.TLSVersion.TLSv1_2
    context.set_ciphers("AECDH-AES256-SHA:@SECLEVEL=0")
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.http_server = web.Server(answer)
        self.connections: list[CallerConnection] = []
        self.next_request_s = 0.0
        self.server = CallerServer(self.build_connection)
        await self.server.start(LOOPBACK, 0, backlog=16)
        self.addAsyncCleanup(self.server.close)
        self.connect_caller()

    def connect_caller(self) -> None:
        self.caller = socket.socket()
        # A large receive buffer would take answers that the test leaves unread.
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.caller.connect((LOOPBACK, self.server.port))
        self.addCleanup(self.caller.close)
        self.caller.setblocking(False)

    def build_connection(self) -> CallerConnection:
        connection = CallerConnection(
            self.http_server, idle_timeout_s=60.0, next_request_s=self.next_request_s
        )
        self.connections.append(connection)
        return connection

    async def receive(self) -> bytes:
        async with asyncio.timeout(5.0):
            return await asyncio.get_running_loop().sock_recv(self.caller, 4096)

    async def test_idle_close_is_seen_at_once(self) -> None:
        """Guards against requests that cross the close in a turn of the loop."""
        self.caller.sendall(REQUEST)
        self.assertIn(b" 200 OK", await self.receive())
        self.server.close_idle_connections()
        self.assertEqual(b"", self.caller.recv(1))

    async def test_request_is_answered_in_any_turn_before_a_close(self) -> None:
        """Guards against handlers that start and are cancelled by a close."""
        for turns in range(7):
            with self.subTest(turns=turns):
                self.connect_caller()
                self.caller.sendall(REQUEST)
                self.assertIn(b" 200 OK", await self.receive())
                self.caller.sendall(REQUEST.replace(b"/", b"/slow", 1))
                for _ in range(turns):
                    await asyncio.sleep(0)
                self.connections[-1].close_when_idle()
                self.assertIn(b" 200 OK", await self.receive())

    async def test_next_request_is_answered_although_a_close_is_wanted(self) -> None:
        """Guards against a close right behind a response that didn't announce it."""
        self.next_request_s = LONG_S
        self.connect_caller()
        self.caller.sendall(REQUEST)
        self.assertIn(b" 200 OK", await self.receive())
        self.server.close_idle_connections()
        self.caller.sendall(REQUEST)
        self.assertIn(b" 200 OK", await self.receive())

    async def test_invalid_bytes_leave_the_request_before_them_its_response(
        self,
    ) -> None:
        """Guards against a channel that is closed while its request is in progress."""
        invalid = REQUEST.strip() + b"\r\nContent-Length: %s\r\n\r\n" % (b"1" * 5_000)
        self.caller.sendall(REQUEST.replace(b"/", b"/slow", 1))
        await asyncio.sleep(SLOW_ANSWER_S / 4)
        self.caller.sendall(invalid)
        self.assertIn(b" 200 OK", await self.receive())

    async def test_requests_received_at_once_are_answered_one_by_one(self) -> None:
        """Guards against bytes behind a request with which the library drops it."""
        upgrade = REQUEST.strip() + b"\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        closing = REQUEST.strip() + b"\r\nConnection: close\r\n\r\n"
        for data, statuses in (
            (upgrade + REQUEST, [b"200", b"200"]),
            (REQUEST + b"\0\0", [b"200", b"400"]),
            (closing + REQUEST, [b"200"]),
        ):
            with self.subTest(data):
                self.connect_caller()
                self.caller.sendall(data)
                received = b""
                while received.count(b"HTTP/1.") < len(statuses):
                    piece = await self.receive()
                    self.assertTrue(piece, received)
                    received += piece
                self.assertEqual(statuses, re.findall(rb"HTTP/1.. (\d+)", received))

    async def test_idle_timeout_counts_from_the_end_of_a_response(self) -> None:
        """Guards against a close right behind a response that took long."""
        self.caller.sendall(REQUEST.replace(b"/", b"/slow", 1))
        self.assertIn(b" 200 OK", await self.receive())
        self.connections[0].set_idle_timeout(SLOW_ANSWER_S)
        self.caller.sendall(REQUEST)
        self.assertIn(b" 200 OK", await self.receive())

    async def test_idle_timeout_counts_from_the_end_of_a_handshake(self) -> None:
        """Guards against connections that stay open after a slow TLS handshake."""
        connection = CallerConnection(self.http_server, idle_timeout_s=0.01)
        await asyncio.sleep(0.1)
        accepted, self.caller = socket.socketpair()
        self.addCleanup(self.caller.close)
        self.caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: connection, accepted)
        self.assertEqual(b"", await self.receive())

    async def test_request_at_the_idle_timeout_is_answered(self) -> None:
        """Guards against a close in the turn in which a request can be read."""
        self.caller.sendall(REQUEST)
        self.assertIn(b" 200 OK", await self.receive())
        idle_s = 0.4
        self.connections[0].set_idle_timeout(idle_s)
        loop = asyncio.get_running_loop()
        # The request is sent and the timeout is due in the same turn.
        loop.call_later(idle_s / 2, time.sleep, idle_s)
        loop.call_later(idle_s * 3 / 4, self.caller.sendall, REQUEST)
        self.assertIn(b" 200 OK", await self.receive())

    async def test_requests_behind_a_close_are_counted(self) -> None:
        """Guards against requests that nobody answers and no log tells of."""
        self.caller.sendall(REQUEST)
        await self.receive()
        self.server.close_idle_connections()
        self.caller.sendall(REQUEST * 2)
        self.assertEqual(b"", await self.receive())
        self.caller.close()
        async with asyncio.timeout(5.0):
            await self.server.wait_closed()
        self.assertEqual(2, self.server.discarded_requests)

    async def test_many_pipelined_requests_are_answered(self) -> None:
        """Guards against requests that the library has put off and never parses."""
        count = 3 * MAX_MSG_QUEUE_SIZE
        self.caller.sendall(REQUEST.replace(b"/", b"/slow", 1) + REQUEST * (count - 1))
        received = b""
        while received.count(b" 200 OK") < count:
            received += await self.receive()

    async def test_endless_head_behind_a_close_is_not_kept(self) -> None:
        """Guards against memory that grows with bytes that are discarded."""
        self.caller.sendall(REQUEST.replace(b"/", b"/refused", 1))
        await self.receive()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(64):
            data = b"v" * 500_000
            await asyncio.get_running_loop().sock_sendall(self.caller, data)
        self.assertLess(tracemalloc.get_traced_memory()[1], 4_000_000)

    async def test_silent_connections_accepted_in_any_turn_before_a_stop_end(
        self,
    ) -> None:
        """Guards against a stop that waits for them until its grace period ends."""
        for turns in range(5):
            with self.subTest(turns=turns):
                server = CallerServer(self.build_connection)
                await server.start(LOOPBACK, 0, backlog=16)
                with socket.create_connection((LOOPBACK, server.port)):
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    await server.stop_accepting()
                    server.close_idle_connections()
                    async with asyncio.timeout(5.0):
                        await server.wait_closed()

    async def test_stop_goes_on_although_a_queued_caller_makes_no_tls_handshake(
        self,
    ) -> None:
        """Guards against a stop that fails, or waits, for a caller without TLS."""
        for data in (b"", REQUEST):
            with self.subTest(data=data):
                tls_context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
                server = CallerServer(self.build_connection, tls_context)
                await server.start(LOOPBACK, 0, backlog=16)
                with socket.create_connection((LOOPBACK, server.port)) as caller:
                    caller.sendall(data)
                    async with asyncio.timeout(2.0):
                        await server.stop_accepting()
                    server.close_idle_connections()
                    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S + 2.0):
                        await server.wait_closed()

    async def test_server_ends_although_a_closing_connection_has_unsent_bytes(
        self,
    ) -> None:
        """Guards against a process that is killed at the end of its grace period."""
        self.caller.sendall(REQUEST.replace(b"/", b"/large", 1))
        await self.receive()
        self.connections[0].force_close()
        async with asyncio.timeout(5.0):
            await self.server.close()

    async def test_slowly_read_answer_is_delivered_after_the_end(self) -> None:
        """Guards against answers that are cut although the system could hold them."""
        self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 30)
        limit = self.caller.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        target = b"/large?size=%d" % (limit // 2)
        self.caller.sendall(REQUEST.replace(b"/", target, 1))
        received = len(await self.receive())
        await asyncio.sleep(0.3)
        await self.server.close()
        while data := await self.receive():
            received += len(data)
        self.assertLess(limit // 2, received)

    async def test_caller_that_sends_an_unread_body_reads_the_response(self) -> None:
        """Guards against a reset, and against waiting long for what is discarded."""
        piece = b"v" * 500_000
        loop = asyncio.get_running_loop()
        for path, status in ((b"/refused", b" 503 "), (b"/", b" 200 ")):
            with self.subTest(path):
                head = REQUEST.replace(b"/", path, 1).strip()
                head += b"\r\nContent-Length: 8000000\r\n\r\n"
                async with asyncio.timeout(10.0):
                    for data in (head, *[piece] * 16):
                        await loop.sock_sendall(self.caller, data)
                        await asyncio.sleep(LINGER_S / 10)
                response = await self.receive()
                self.assertIn(status, response)
                self.assertIn(b"Connection: close", response)
                async with asyncio.timeout(5.0):
                    await self.server.wait_closed()
                # It has a response, although its body came behind the close.
                self.assertEqual(0, self.server.discarded_requests)
                self.connect_caller()

    async def test_handshakes_that_fail_or_stall_leave_room(self) -> None:
        """Guards against handshakes that keep out every other caller."""
        server = CallerServer(
            self.build_connection,
            build_anonymous_tls(ssl.PROTOCOL_TLS_SERVER),
            max_connections=lambda: 8,
        )
        await server.start(LOOPBACK, 0, backlog=16)
        self.addAsyncCleanup(server.close)
        for data in (b"", b"GET / HTTP/1.1\r\n\r\n"):
            for _ in range(10):
                _, writer = await asyncio.open_connection(LOOPBACK, server.port)
                self.addCleanup(writer.transport.abort)
                writer.write(data)
            await asyncio.sleep(0.1)
            self.assertLessEqual(server.open_connections, 2)
        context = build_anonymous_tls(ssl.PROTOCOL_TLS_CLIENT)
        reader, writer = await asyncio.open_connection(
            LOOPBACK, server.port, ssl=context
        )
        self.addCleanup(writer.transport.abort)
        writer.write(b"GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
        head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 10.0)
        self.assertIn(b" 200 ", head)

    async def test_caller_with_tls_reads_the_refusal_of_its_body(self) -> None:
        """Guards against a reset where a connection can't be closed by halves."""
        context = build_anonymous_tls(ssl.PROTOCOL_TLS_SERVER)
        server = CallerServer(self.build_connection, context)
        await server.start(LOOPBACK, 0, backlog=16)
        self.addAsyncCleanup(server.close)
        context = build_anonymous_tls(ssl.PROTOCOL_TLS_CLIENT)
        reader, writer = await asyncio.open_connection(
            LOOPBACK, server.port, ssl=context
        )
        self.addCleanup(writer.transport.abort)
        head = REQUEST.replace(b"/", b"/refused", 1).strip()
        async with asyncio.timeout(10.0):
            for data in (
                head + b"\r\nContent-Length: 8000000\r\n\r\n",
                *[bytes(500_000)] * 16,
            ):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(LINGER_S / 50)
            self.assertIn(b" 503 ", await reader.read())
            await server.wait_closed()


if __name__ == "__main__":
    unittest.main()
