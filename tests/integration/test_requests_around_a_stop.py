"""Whole requests that reach an entry host process at any moment of a planned stop."""

import random
import signal
import unittest

from tests.harness import Ending, Exchange, Situation, StopCallers
from tests.integration.entry_host_case import NOT_RUN_STATUS, EntryHostCase

SEED = 42
LARGE_ANSWER_BYTES = 600_000


class RequestsAroundStopTest(EntryHostCase):
    """Guards against whole requests that end with neither an answer nor a refusal."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.booking.answer_bytes = LARGE_ANSWER_BYTES

    async def test_stop_answers_or_refuses_each_whole_request(self) -> None:
        """Callers begin at any moment, whatever pieces their bytes come in."""
        callers = StopCallers(self.port, self.build, random.Random(SEED))
        exchanges = await callers.play(lambda: self.process.signal(signal.SIGTERM))
        self.assertEqual(0, await self.process.wait())
        # The log tells an operator that no request was lost.
        await self.process.wait_for_line(
            r"event=drain_finished .*unsent_bytes=0 served=[1-9]\d* .*unanswered=0"
        )
        self.check(exchanges)

    def check(self, exchanges: list[Exchange]) -> None:
        run_ids = self.run_ids
        self.assertLess(0, sum(entry.status == 200 for entry in exchanges))
        for exchange in exchanges:
            with self.subTest(str(exchange)):
                self.assertNotIn(exchange.ending, (Ending.LOST, Ending.CUT))
                self.assertIn(exchange.status, (None, 200, NOT_RUN_STATUS))
                if exchange.status == NOT_RUN_STATUS:
                    self.assertNotIn(exchange.request_id, run_ids)

    def build(self, situation: Situation, request_id: str) -> bytes:
        if situation.is_large_answer:
            return self.build_booking(request_id)
        chunk_bytes = 7_000 if situation.is_chunked else None
        return self.build_stream(request_id, situation.body, chunk_bytes=chunk_bytes)


if __name__ == "__main__":
    unittest.main()
