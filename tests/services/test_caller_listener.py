"""Malformed input and misbehaving callers against a daemon on loopback ports."""

import asyncio
import gzip
import json
import random
import time
import unittest

from aiohttp import web

from figshunt.services import Daemon
from figshunt.standins import (
    BatchProfile,
    ConfigurationService,
    EngineProfile,
    ModelEngine,
    PlainProfile,
    PlainService,
    WebStandin,
)
from figshunt.types import SystemClock
from tests.builders import (
    CALLER_KEY,
    build_completion_body,
    build_documents,
    build_pool,
    build_route,
    build_runner,
    build_settings,
)

CHAT_PATH = "/v1/chat/completions"
AUTHORIZATION_HEADER = f"Authorization: Bearer {CALLER_KEY}"
LISTENER_LIMITS = {"body_bytes": 4096, "header_bytes": 2048, "body_timeout_ms": 300}
FAST_BATCH = BatchProfile(token_ms=0.1, token_ms_per_request=0.0)
VALID_BODY = build_completion_body(tokens=2)
REFUSED_BODY_BYTES = 1_600_000
CUT_ANSWER_BYTES = 600_000
CUT_PATH = "/cut"


def build_http(
    body: bytes,
    *headers: str,
    path: str = CHAT_PATH,
    method: str = "POST",
    content_length: int | None = None,
) -> bytes:
    header_length = len(body) if content_length is None else content_length
    lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {header_length}"]
    head = "\r\n".join([*lines, AUTHORIZATION_HEADER, *headers]) + "\r\n\r\n"
    return head.encode("latin-1") + body


def build_chat(**changes: object) -> bytes:
    return build_http(build_completion_body(**changes))  # type: ignore[arg-type]


MALFORMED_GZIP = build_http(b"not gzip", "Content-Encoding: gzip")
GZIP_BOMB = build_http(gzip.compress(b" " * 100_000), "Content-Encoding: gzip")
CHUNKED_HEADER = "Transfer-Encoding: chunked"
MALFORMED_CHUNK = build_http(b"zz\r\n", CHUNKED_HEADER).replace(
    b"Content-Length: 4\r\n", b""
)
LARGE_CHUNK = MALFORMED_CHUNK.replace(
    b"zz\r\n", b"2000\r\n" + b"x" * 0x2000 + b"\r\n0\r\n\r\n"
)
HUGE_CONTENT_LENGTH = build_http(b"", content_length=10_000_000)

# Name, request bytes, and the expected error code, step and HTTP status; step None
# stands for caller_listener.
BAD_REQUESTS = (
    ("not JSON", build_http(b"{"), "bad_request", "caller_listener", 400),
    ("not UTF-8", build_http(b"\xff"), "bad_request", "caller_listener", 400),
    ("deep nesting", build_http(b"[" * 4000), "bad_request", "caller_listener", 400),
    ("JSON list", build_http(b"[]"), "bad_request", "caller_listener", 400),
    ("model not a string", build_chat(model=5), "bad_request", "caller_listener", 400),
    (
        "stream not a boolean",
        build_chat(stream="yes"),
        "bad_request",
        "caller_listener",
        400,
    ),
    (
        "messages not a list",
        build_chat(messages={}),
        "bad_request",
        "caller_listener",
        400,
    ),
    (
        "message not an object",
        build_chat(messages=[1]),
        "bad_request",
        "caller_listener",
        400,
    ),
    ("no prompt", build_http(b'{"model":"chat"}'), "bad_request", None, 400),
    ("lone surrogate", build_chat(model="\ud800"), "unknown_route", "route", 404),
    ("malformed gzip", MALFORMED_GZIP, "bad_request", "caller_listener", 400),
    ("gzip bomb", GZIP_BOMB, "body_too_large", "caller_listener", 413),
    ("malformed chunk", MALFORMED_CHUNK, "bad_request", "caller_listener", 400),
    ("oversized chunk", LARGE_CHUNK, "body_too_large", "caller_listener", 413),
    (
        "oversized body",
        build_http(b"x" * 5000),
        "body_too_large",
        "caller_listener",
        413,
    ),
    (
        "huge content length",
        HUGE_CONTENT_LENGTH,
        "body_too_large",
        "caller_listener",
        413,
    ),
    (
        "oversized header",
        build_http(VALID_BODY, "X: " + "x" * 3000),
        "header_too_large",
        None,
        431,
    ),
    (
        "oversized path",
        build_http(VALID_BODY, path="/" + "x" * 3000),
        "header_too_large",
        None,
        431,
    ),
    (
        "slow body",
        build_http(b"", content_length=10),
        "bad_request",
        "caller_listener",
        400,
    ),
    ("not HTTP", b"\x16\x03\x01 nonsense\r\n\r\n", "bad_request", None, 400),
    ("unknown route", build_chat(route="nowhere"), "unknown_route", "route", 404),
    ("unknown path", build_http(VALID_BODY, path="/v2/x"), "unknown_route", None, 404),
    (
        "unsupported method",
        build_http(b"", method="GET"),
        "unknown_route",
        "caller_listener",
        404,
    ),
    (
        "missing idempotency key",
        build_http(b"", path="/route/book/x"),
        "key_missing",
        "route",
        400,
    ),
    (
        "invalid idempotency key",
        build_http(VALID_BODY, "Idempotency-Key: \xff"),
        "key_invalid",
        None,
        400,
    ),
)


class FloodService(WebStandin):
    """Answers every call with an endless response body."""

    def __init__(self) -> None:
        super().__init__()
        self.request_cancelled = asyncio.Event()

    def build_app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get("/{tail:.*}", self._handle)
        return app

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        if request.path == CUT_PATH:
            await response.write(bytes(CUT_ANSWER_BYTES))
            assert request.transport is not None
            request.transport.close()
            return response
        try:
            while True:
                await response.write(bytes(2**16))
                await asyncio.sleep(0)
        finally:
            self.request_cancelled.set()


class CallerListenerTest(unittest.IsolatedAsyncioTestCase):
    """Bad input must not stop the daemon or get a response without an error code."""

    async def asyncSetUp(self) -> None:
        profile = EngineProfile(batch=FAST_BATCH, warm_after=0)
        self.engine = ModelEngine(profile, random.Random(1))
        self.plain_service = PlainService(PlainProfile(service_ms=1), random.Random(1))
        configuration = ConfigurationService()
        self.flood_service = FloodService()
        for standin in (
            self.engine,
            self.plain_service,
            self.flood_service,
            configuration,
        ):
            await standin.start()
            self.addAsyncCleanup(standin.stop)
        engine_pool = build_pool(runners=0)
        engine_pool["runners"] = [build_runner("engine-1", self.engine.url)]
        plain_pool = build_pool("plains", runners=0, kind="plain")
        plain_pool["runners"] = [build_runner("plain-1", self.plain_service.url)]
        flood_pool = build_pool("floods", runners=0, kind="plain", reports_load=False)
        flood_pool["runners"] = [build_runner("flood-1", self.flood_service.url)]
        routes = [
            build_route(),
            build_route("flood", pool="floods", deadline_ms=600_000),
            build_route("book", pool="plains", idempotent=False),
            build_route("roster", pool="plains"),
        ]
        documents = build_documents(
            routes=routes, pools=[engine_pool, plain_pool, flood_pool]
        )
        for name, document in zip(("routes", "pools"), documents):
            configuration.publish(name, json.dumps(document))
        settings = build_settings(configuration.url, limits=LISTENER_LIMITS)
        self.daemon = Daemon(settings, SystemClock(), random.Random(1))
        await self.daemon.start()
        self.addAsyncCleanup(self.daemon.stop)
        async with asyncio.timeout(10):
            while not self.daemon.admin_listener.is_ready:
                await asyncio.sleep(0.01)
            while b"[DONE]" not in await self.exchange(build_http(VALID_BODY)):
                await asyncio.sleep(0.01)

    async def connect(
        self, data: bytes, limit: int = 2**16
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.daemon.caller_listener.port, limit=limit
        )
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def exchange(self, data: bytes) -> bytes:
        """Send a request and return the response up to the end of its body."""
        reader, writer = await self.connect(data)
        async with asyncio.timeout(10):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"chunked" in head:
                return head + await reader.readuntil(b"0\r\n\r\n")
            content_length = int(head.lower().split(b"content-length:")[1].split()[0])
            return head + await reader.readexactly(content_length)

    async def wait_until_idle(self) -> None:
        async with asyncio.timeout(10):
            while (
                self.daemon.caller_listener.requests_in_progress
                or self.engine.runner_state.in_progress
            ):
                await asyncio.sleep(0.01)

    async def test_bad_input_returns_error_code(self) -> None:
        answered_before = self.engine.runner_state.totals.answered
        for name, data, code, step, status in BAD_REQUESTS:
            with self.subTest(name):
                head, _, body = (await self.exchange(data)).partition(b"\r\n\r\n")
                error = json.loads(body)["error"]
                self.assertEqual((error["code"], error["outcome"]), (code, "not_run"))
                self.assertEqual(error["step"], step or "caller_listener")
                self.assertIn(f" {status} ".encode(), head.splitlines()[0])
                self.assertIn(b"x-run-outcome: not_run", head.lower())
        await self.wait_until_idle()
        self.assertLessEqual(
            self.engine.runner_state.totals.answered - answered_before, 1
        )
        self.assertIn(b"[DONE]", await self.exchange(build_http(VALID_BODY)))

    async def test_caller_that_sends_a_refused_body_reads_the_refusal(self) -> None:
        """Guards against refusals that are lost as the connection is reset."""
        too_large = build_http(b"", content_length=REFUSED_BODY_BYTES)
        unknown = build_http(b"", path="/x", content_length=REFUSED_BODY_BYTES)
        chunk = b"%x\r\n" % REFUSED_BODY_BYTES
        chunked = MALFORMED_CHUNK.replace(b"zz\r\n", chunk)
        for name, head, status in (
            ("413", too_large, b" 413 "),
            ("413 within a chunk", chunked, b" 413 "),
            ("404", unknown, b" 404 "),
        ):
            with self.subTest(name):
                reader, writer = await self.connect(head)
                async with asyncio.timeout(10):
                    for _ in range(16):
                        writer.write(bytes(REFUSED_BODY_BYTES // 16))
                        await writer.drain()
                        await asyncio.sleep(0.02)
                    answer = await reader.read()
                self.assertIn(status, answer.splitlines()[0])
                self.assertIn(b"connection: close", answer.lower())

    async def test_caller_reads_what_was_sent_of_a_cut_answer(self) -> None:
        """Guards against a reset by what the caller sends behind its request."""
        request = build_http(b"", path=f"/route/flood{CUT_PATH}", method="GET")
        reader, writer = await self.connect(request, limit=1024)
        await reader.read(1)
        while self.daemon.caller_listener.requests_in_progress:
            await asyncio.sleep(0.01)
        writer.write(request)
        await asyncio.sleep(0.1)
        async with asyncio.timeout(10):
            answer = await reader.read()
        self.assertLess(CUT_ANSWER_BYTES, len(answer))
        self.assertFalse(answer.endswith(b"\r\n0\r\n\r\n"))

    async def test_body_that_arrives_during_a_pause_is_accepted(self) -> None:
        """Guards against a timeout that is due before the last bytes are read."""
        reader, writer = await self.connect(build_http(VALID_BODY)[:-5])
        while not self.daemon.caller_listener.requests_in_progress:
            await asyncio.sleep(0.001)
        writer.write(VALID_BODY[-5:])
        time.sleep(2 * LISTENER_LIMITS["body_timeout_ms"] / 1000)
        async with asyncio.timeout(10):
            answer = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", answer.splitlines()[0])

    async def test_runner_receives_path_unchanged(self) -> None:
        """Guards against request splitting by a line break decoded from the path."""
        path = "/route/roster/a%20b%0d%0aX-Evil:%201%0d%0a%ff?q=%0a"
        answer = await self.exchange(build_http(b"", path=path))
        self.assertIn(b" 200 ", answer.splitlines()[0])
        self.assertIn(rb"a b\r\nX-Evil", answer)

    async def test_caller_disconnect_cancels_run(self) -> None:
        """Guards against runs that continue after their caller has disconnected."""
        long_request = build_http(build_completion_body(tokens=1_000_000))
        for name in ("closed", "half closed", "during the body"):
            with self.subTest(name):
                totals = self.engine.runner_state.totals
                cancelled_before = totals.cancelled
                is_truncated = name == "during the body"
                reader, writer = await self.connect(
                    long_request[: -5 if is_truncated else None]
                )
                if not is_truncated:
                    await reader.readuntil(b"id: 3\n")
                if name == "closed":
                    writer.close()
                else:
                    writer.write_eof()
                await self.wait_until_idle()
                self.assertEqual(
                    totals.cancelled - cancelled_before, 0 if is_truncated else 1
                )

    async def test_stalled_caller_is_disconnected_and_run_cancelled(self) -> None:
        """Guards against an answer that grows in memory without bound.

        The daemon buffers what a caller that stops reading has not received yet.
        """
        flood_request = build_http(b"", path="/route/flood/x", method="GET")
        _, writer = await self.connect(flood_request, limit=1024)
        async with asyncio.timeout(60):
            await self.flood_service.request_cancelled.wait()
        await self.wait_until_idle()
        self.assertIn(b"[DONE]", await self.exchange(build_http(VALID_BODY)))
