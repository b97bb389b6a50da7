"""Answers of runners in trouble that never end, at the cell's front end."""

import unittest

from figshunt.services import RunnerClient
from figshunt.standins import EndlessRunner
from figshunt.types import (
    AttemptFailed,
    AttemptId,
    Moment,
    RunnerId,
    StartAttempt,
    SystemClock,
)
from tests.builders import (
    MAX_ENDLESS_BYTES,
    build_endless_answers,
    build_request,
)
from tests.gateway.fixture import wait_until
from tests.recording_sink import RecordingMessageSink

# Bodies of these answers are passed on as they arrive, until the time limit.
FORWARDED_BODIES = ("body", "chunk", "chunks")


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that reads an endless answer until it has no memory."""

    async def asyncSetUp(self) -> None:
        self.sink = RecordingMessageSink()
        self.client = RunnerClient(self.sink, SystemClock())
        await self.client.start()
        self.addAsyncCleanup(self.client.stop)

    async def test_endless_answer_is_cut_off(self) -> None:
        for name, (start, repeated) in build_endless_answers().items():
            if name in FORWARDED_BODIES:
                continue
            with self.subTest(name):
                runner = EndlessRunner(start, repeated)
                await self.run_attempt(runner, name, timeout_ms=15_000)
                self.assertLess(runner.sent_bytes, MAX_ENDLESS_BYTES)

    async def test_endless_body_is_cut_off_at_the_time_limit(self) -> None:
        for name in FORWARDED_BODIES:
            start, repeated = build_endless_answers()[name]
            with self.subTest(name):
                await self.run_attempt(EndlessRunner(start, repeated), name, 300)

    async def run_attempt(
        self, runner: EndlessRunner, name: str, timeout_ms: int
    ) -> None:
        """Run an attempt until it has failed and its connection is closed."""
        self.sink.messages.clear()
        await runner.start()
        attempt = StartAttempt(
            attempt_id=AttemptId(name),
            runner_id=RunnerId("e1"),
            url=f"http://{runner.address}",
            request=build_request(Moment(0, 0)),
            resume_offset=0,
            priority=1,
            timeout_ms=timeout_ms,
        )
        self.client.start_attempt(attempt)
        try:
            await wait_until(lambda: bool(self.sink.of_type(AttemptFailed)))
            await wait_until(lambda: not runner.open_connections)
        finally:
            await runner.stop()


if __name__ == "__main__":
    unittest.main()
