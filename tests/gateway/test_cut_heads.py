"""Answers of runners that end within their head."""

import asyncio
import unittest

from figshunt.dispatch import (
    CallAttemptFailed,
    ReplyComplete,
    ReplyStarted,
    StartCallAttempt,
)
from figshunt.gateway._runner_caller import RunnerCaller
from figshunt.platform import PlatformCallCodec
from figshunt.runtime import EventLog
from figshunt.services import RunnerClient
from figshunt.types import (
    AnswerHead,
    AttemptFailed,
    AttemptId,
    Moment,
    RunnerId,
    StartAttempt,
    SystemClock,
)
from tests.builders import build_call, build_cut_heads, build_request
from tests.gateway.fixture import LOOPBACK, wait_until
from tests.recording_sink import RecordingMessageSink


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an empty success made of an answer that ended in its head."""

    async def asyncSetUp(self) -> None:
        self.sink = RecordingMessageSink()
        self.answer = b""
        self.server = await asyncio.start_server(self.send_answer, LOOPBACK, 0)
        self.addAsyncCleanup(self.server.wait_closed)
        self.addCleanup(self.server.close)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    async def send_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read a request and send the answer, which the connection's end cuts off."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        writer.close()

    async def test_entry_host_takes_no_cut_head_for_an_answer(self) -> None:
        caller = RunnerCaller(
            PlatformCallCodec(), self.sink, EventLog({}), SystemClock()
        )
        await caller.start()
        self.addAsyncCleanup(caller.stop)
        for self.answer in build_cut_heads():
            self.sink.messages.clear()
            caller.start_attempt(
                StartCallAttempt(
                    attempt_id=AttemptId("a1"),
                    runner_id=RunnerId("e1"),
                    address=self.address,
                    call=build_call(
                        body=b"", headers=(("X-Figshunt-Attempt-Id", "a1"),)
                    ),
                    team=None,
                    time_limit_ms=10_000,
                    priority=0,
                    resume_after=None,
                )
            )
            await wait_until(lambda: bool(self.sink.messages))
            self.assertEqual([], self.sink.of_type(ReplyComplete), self.answer)
            self.assertEqual([], self.sink.of_type(ReplyStarted), self.answer)
            self.assertEqual(1, len(self.sink.of_type(CallAttemptFailed)))

    async def test_cell_takes_no_cut_head_for_an_answer(self) -> None:
        client = RunnerClient(self.sink, SystemClock())
        await client.start()
        self.addAsyncCleanup(client.stop)
        for self.answer in build_cut_heads():
            self.sink.messages.clear()
            client.start_attempt(
                StartAttempt(
                    attempt_id=AttemptId("a1"),
                    runner_id=RunnerId("e1"),
                    url=f"http://{self.address}",
                    request=build_request(Moment(0, 0)),
                    resume_offset=0,
                    priority=1,
                    timeout_ms=10_000,
                )
            )
            await wait_until(lambda: bool(self.sink.messages))
            self.assertEqual([], self.sink.of_type(AnswerHead), self.answer)
            self.assertEqual(1, len(self.sink.of_type(AttemptFailed)))


if __name__ == "__main__":
    unittest.main()
