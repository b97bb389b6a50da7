"""Errors of the client for runners."""

import asyncio
import dataclasses
import unittest
from unittest import mock

from figshunt.services._runner_client import RunnerClient
from figshunt.types import (
    AnswerHead,
    AttemptFailed,
    AttemptId,
    Message,
    Moment,
    RunnerId,
    SendState,
    StartAttempt,
    SystemClock,
)
from tests.builders import build_request
from tests.gateway.fixture import LOOPBACK, wait_until
from tests.recording_sink import RecordingMessageSink


class RunnerClientErrorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that wait for their lease after an unexpected error."""

    async def test_unexpected_error_fails_the_attempt(self) -> None:
        sink = RecordingMessageSink()
        client = RunnerClient(sink, SystemClock())
        attempt_id = AttemptId("a1")
        error = KeyError("unexpected")
        with mock.patch.object(RunnerClient, "_send_request", side_effect=error):
            client.start_attempt(
                StartAttempt(
                    attempt_id,
                    RunnerId("e1"),
                    "http://x",
                    build_request(Moment(0, 0)),
                    0,
                    1,
                    5_000,
                )
            )
            await wait_until(lambda: not client._tasks_by_attempt)
        (failed,) = sink.messages
        assert isinstance(failed, AttemptFailed)
        self.assertEqual(attempt_id, failed.attempt_id)


class LostRequestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that the HTTP library sends again by itself."""

    async def test_redirected_request_is_not_sent_elsewhere(self) -> None:
        arrivals, (answer, *_) = await self.send_once(
            "POST", False, b"HTTP/1.1 307 R\r\nLocation: http://%s:1/\r\n\r\n"
        )
        self.assertEqual(1, arrivals)
        assert isinstance(answer, AnswerHead)
        self.assertEqual(307, answer.status)

    async def test_lost_request_is_sent_once_and_may_have_arrived(self) -> None:
        """Guards against a second run, and against a false "not run"."""
        for method in ("GET", "PUT", "DELETE", "POST"):
            for stops_listening in (False, True):
                with self.subTest(method, stops_listening=stops_listening):
                    arrivals, (*_, failed) = await self.send_once(
                        method, stops_listening
                    )
                    self.assertEqual(1, arrivals)
                    assert isinstance(failed, AttemptFailed)
                    self.assertIs(SendState.MAY_HAVE_ARRIVED, failed.sent)

    async def send_once(
        self, method: str, stops_listening: bool, answer: bytes = b""
    ) -> tuple[int, list[Message]]:
        """Return how often a request arrived, and the messages about its attempt.

        :param answer: what is sent before the connection ends.
        """
        arrivals = 0

        async def drop_request(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal arrivals
            await reader.readuntil(b"\r\n\r\n")
            arrivals += 1
            if stops_listening:
                server.close()
            writer.write(answer.replace(b"%s", LOOPBACK.encode()))
            writer.close()

        server = await asyncio.start_server(drop_request, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        sink = RecordingMessageSink()
        client = RunnerClient(sink, SystemClock())
        request = dataclasses.replace(build_request(Moment(0, 0)), method=method)
        client.start_attempt(
            StartAttempt(
                AttemptId("a1"),
                RunnerId("e1"),
                f"http://{LOOPBACK}:{port}",
                request,
                0,
                1,
                5_000,
            )
        )
        await wait_until(lambda: not client._tasks_by_attempt)
        server.close()
        return arrivals, sink.messages


if __name__ == "__main__":
    unittest.main()
