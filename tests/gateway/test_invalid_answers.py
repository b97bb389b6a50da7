"""Answers of runners with an invalid status, and answers that end early."""

import asyncio
import random
import socket
import struct
import unittest
from collections.abc import Callable
from dataclasses import replace
from enum import Enum

from aiohttp import ClientConnectionError

from figshunt.dispatch import (
    CallAttemptFailed,
    ReplyComplete,
    ReplyEnded,
    ReplyStarted,
    StartCallAttempt,
)
from figshunt.gateway._runner_caller import RunnerCaller
from figshunt.platform import PlatformCallCodec
from figshunt.runtime import BoundedResponseHandler, EventLog, ReceiveBudget
from figshunt.services import LoadWatcher, RunnerClient
from figshunt.types import (
    AnswerHead,
    AttemptFailed,
    AttemptFailure,
    AttemptFinished,
    AttemptId,
    LoadReported,
    Message,
    Moment,
    RunnerId,
    RunnerUnreachable,
    SendState,
    StartAttempt,
    SystemClock,
)
from tests.builders import (
    build_answer_head,
    build_call,
    build_invalid_statuses,
    build_request,
)
from tests.gateway.fixture import LOOPBACK, wait_until
from tests.recording_sink import RecordingMessageSink

STREAM = "text/event-stream"
PLAIN = "application/json"
LOAD_LINE = (
    b'{"start": "s", "completed": 1, "running": 0, "queued": 0, "token_time_us": 1,'
    b' "leaving": false, "age_ms": 0}\n'
)
UPLOAD_BYTES = 4 * 1024 * 1024
BUFFER_BYTES = 64 * 1024
ENDS = (ReplyComplete, ReplyEnded, CallAttemptFailed, AttemptFinished, AttemptFailed)


class RunnerEnd(Enum):
    """How a runner ends the connection behind the first part of its answer."""

    RESET = "reset"
    RESET_LATER = "reset later"
    CLOSE_UNREAD = "close with unread bytes"
    HALF_CLOSE = "close its side, then read on"
    CLOSE_READ = "close once all is read"


class AnswerCase(unittest.IsolatedAsyncioTestCase):
    """Sends a raw answer to both clients of runners."""

    async def asyncSetUp(self) -> None:
        self.sink = RecordingMessageSink()
        self.answer = b""
        self.end = RunnerEnd.CLOSE_READ
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self.listener.bind((LOOPBACK, 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        accepting = asyncio.create_task(self.accept())
        self.addCleanup(accepting.cancel)
        self.caller = RunnerCaller(
            PlatformCallCodec(), self.sink, EventLog({}), SystemClock()
        )
        self.client = RunnerClient(self.sink, SystemClock())
        for service in (self.caller, self.client):
            await service.start()
            self.addAsyncCleanup(service.stop)

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            task = asyncio.create_task(self.serve(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def serve(self, connection: socket.socket) -> None:
        """Read the start of a request, or all of it, and answer."""
        loop = asyncio.get_running_loop()
        received = await loop.sock_recv(connection, 1_000)
        if self.end is RunnerEnd.CLOSE_READ:
            head, _, body = received.partition(b"\r\n\r\n")
            _, _, length = head.lower().partition(b"content-length: ")
            remaining = int(length.split(b"\r\n")[0] or 0) - len(body)
            while remaining > 0:
                remaining -= len(await loop.sock_recv(connection, BUFFER_BYTES))
        await loop.sock_sendall(connection, self.answer)
        match self.end:
            case RunnerEnd.RESET_LATER:
                await asyncio.sleep(0.02)
            case RunnerEnd.HALF_CLOSE:
                connection.shutdown(socket.SHUT_WR)
                await asyncio.sleep(0.05)
                while await loop.sock_recv(connection, BUFFER_BYTES):
                    pass
        if self.end in (RunnerEnd.RESET, RunnerEnd.RESET_LATER):
            no_linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        connection.close()

    def start_entry_host(self, body: bytes = b"{}") -> None:
        headers = (("X-Figshunt-Attempt-Id", "a1"),)
        self.caller.start_attempt(
            StartCallAttempt(
                attempt_id=AttemptId("a1"),
                runner_id=RunnerId("e1"),
                address=self.address,
                call=build_call(body=body, headers=headers),
                team=None,
                time_limit_ms=10_000,
                priority=0,
                resume_after=None,
            )
        )

    def start_cell(self, body: bytes = b"{}") -> None:
        self.client.start_attempt(
            StartAttempt(
                attempt_id=AttemptId("a1"),
                runner_id=RunnerId("e1"),
                url=f"http://{self.address}",
                request=replace(build_request(Moment(0, 0)), body=body),
                resume_offset=0,
                priority=1,
                timeout_ms=10_000,
            )
        )

    async def play(self, start: Callable[[], None]) -> Message:
        """Send a request, and return the message that ends its attempt."""
        self.sink.messages.clear()
        start()
        await wait_until(lambda: any(isinstance(m, ENDS) for m in self.sink.messages))
        (end,) = [
            message for message in self.sink.messages if isinstance(message, ENDS)
        ]
        return end


class InvalidStatusTest(AnswerCase):
    """Guards against a status that no server sends being passed on as an answer."""

    async def test_invalid_status_is_no_answer_and_proves_nothing(self) -> None:
        for status in build_invalid_statuses():
            for content_type in (STREAM, PLAIN):
                for not_run in (False, True):
                    for framing in (b"", b"Content-Length: 9\r\n"):
                        self.answer = build_answer_head(
                            status, content_type, framing, not_run=not_run
                        )
                        self.answer += b"data: 1\n\n"
                        for start in (self.start_entry_host, self.start_cell):
                            with self.subTest(self.answer, start=start.__name__):
                                self.check_invalid(await self.play(start))

    def check_invalid(self, end: Message) -> None:
        for kind in (ReplyStarted, AnswerHead, RunnerUnreachable):
            self.assertEqual([], self.sink.of_type(kind))
        assert isinstance(end, CallAttemptFailed | AttemptFailed)
        self.assertIs(AttemptFailure.PROTOCOL, end.failure)
        self.assertIs(SendState.MAY_HAVE_ARRIVED, end.sent)

    async def test_informational_answers_are_no_answers(self) -> None:
        answer = build_answer_head("200", PLAIN, b"Content-Length: 1\r\n") + b"v"
        self.answer = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \r\n\r\n" + answer
        self.assertIsInstance(await self.play(self.start_entry_host), ReplyComplete)
        self.assertIsInstance(await self.play(self.start_cell), AttemptFinished)

    async def test_health_answer_with_an_invalid_status_proves_no_health(self) -> None:
        for status in build_invalid_statuses():
            with self.subTest(status):
                self.sink.messages.clear()
                # Without a length the library reads no body behind these.
                framing = b"Content-Length: %d\r\n" % len(LOAD_LINE)
                self.answer = build_answer_head(status, PLAIN, framing) + LOAD_LINE
                watcher = LoadWatcher(self.sink, random.Random(1))
                await watcher.start()
                watcher.set_runners({RunnerId("e1"): f"http://{self.address}"})
                await wait_until(lambda: bool(self.sink.of_type(RunnerUnreachable)))
                await watcher.stop()
                self.assertEqual([], self.sink.of_type(LoadReported))


class TruncatedAnswerTest(AnswerCase):
    """Guards against a part of an answer that is passed on as all of it."""

    async def test_answer_that_ends_within_an_upload_is_not_complete(self) -> None:
        body = b"v" * UPLOAD_BYTES
        for framing in (b"", b"Transfer-Encoding: identity\r\n"):
            for content_type in (STREAM, PLAIN):
                self.answer = build_answer_head("200", content_type, framing)
                self.answer += b"data: 1\n\n"
                for self.end in RunnerEnd:
                    for start in (self.start_entry_host, self.start_cell):
                        name = f"{framing!r} {content_type} {start.__name__}"
                        with self.subTest(f"{self.end.value} {name}"):
                            end = await self.play(lambda: start(body))
                            self.check_end(end, content_type)

    def check_end(self, end: Message, content_type: str) -> None:
        is_complete = isinstance(end, ReplyComplete | ReplyEnded | AttemptFinished)
        if self.end is RunnerEnd.CLOSE_READ:
            # A stream of a cell has an end marker, so it isn't complete without.
            is_cell = isinstance(end, AttemptFailed | AttemptFinished)
            self.assertIs(is_complete, not (is_cell and content_type == STREAM))
            return
        self.assertFalse(is_complete)
        assert isinstance(end, CallAttemptFailed | AttemptFailed)
        self.assertIs(SendState.MAY_HAVE_ARRIVED, end.sent)

    async def test_later_error_of_the_upload_does_not_hide_a_reset(self) -> None:
        """Guards against the library's error for the upload in place of the reset.

        It replaces that if nobody has read the head before the connection ends.
        """
        share = ReceiveBudget().open_share()
        handler = BoundedResponseHandler(asyncio.get_running_loop(), share)
        handler.set_response_params(read_until_eof=True)
        handler.data_received(build_answer_head("200", PLAIN) + b"part")
        handler.connection_lost(ConnectionResetError())
        handler.set_exception(ClientConnectionError("Failed to send bytes"))
        self.assertTrue(handler.is_truncated)


if __name__ == "__main__":
    unittest.main()
