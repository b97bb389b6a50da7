"""Many large answers of sound runners at the same time."""

import asyncio
import unittest
from collections import Counter

from tests.harness import open_raw_caller
from tests.integration.entry_host_case import NOT_RUN_STATUS, EntryHostCase

CALLERS = 120
ANSWER_BYTES = 600_000


class LargeAnswersTest(EntryHostCase):
    async def test_sound_answers_are_delivered_however_many_come_at_once(self) -> None:
        """Guards against a memory limit that breaks off answers of sound runners."""
        self.booking.answer_bytes = ANSWER_BYTES

        async def call(number: int) -> int | None:
            caller = await open_raw_caller("127.0.0.1", self.port)
            assert caller is not None
            try:
                request_id = f"large {number}"
                data = self.build_booking(request_id)
                return (await caller.exchange(request_id, [data])).status
            finally:
                caller.close()

        statuses = Counter(await asyncio.gather(*map(call, range(CALLERS))))
        self.assertLessEqual(statuses.keys(), {200, NOT_RUN_STATUS}, statuses)


if __name__ == "__main__":
    unittest.main()
