"""How long a runner is believed to take."""

import unittest

from figshunt.dispatch._runner_model import RunnerModel

KV_TOKENS = 260_000


class ReadingTimeTest(unittest.TestCase):
    """Guards against queues that are believed to be read too soon."""

    def setUp(self) -> None:
        self.model = RunnerModel(KV_TOKENS)

    def test_long_prompts_take_more_than_in_proportion(self) -> None:
        self.assertGreater(
            self.model.prefill_ms(20_000), 2 * self.model.prefill_ms(10_000)
        )

    def test_held_parts_count_as_context(self) -> None:
        self.assertGreater(
            self.model.prefill_ms(3_000, 20_000), self.model.prefill_ms(3_000)
        )

    def test_restart_forgets_the_queue(self) -> None:
        self.model.add(20_000, 0, 0, 0)
        self.model.restart(0, KV_TOKENS)
        self.assertEqual(0, self.model.prefill_queue.backlog_ms(0))
