"""The predicted prefill time of a runner."""

import unittest

from figshunt.dispatch.fleet._runner_model import RunnerModel

KV_TOKENS = 260_000


class PrefillTimeTest(unittest.TestCase):
    """Guards against prefill times that are predicted too short or too long."""

    def setUp(self) -> None:
        self.model = RunnerModel(KV_TOKENS)

    def test_prefill_time_grows_faster_than_prompt_length(self) -> None:
        self.assertGreater(
            self.model.prefill_ms(20_000), 2 * self.model.prefill_ms(10_000)
        )

    def test_cached_parts_count_as_context(self) -> None:
        self.assertGreater(
            self.model.prefill_ms(3_000, 20_000), self.model.prefill_ms(3_000)
        )

    def test_restart_clears_the_queue(self) -> None:
        self.model.add(20_000, 0, 0, 0)
        self.model.restart(0, KV_TOKENS)
        self.assertEqual(0, self.model.prefill_queue.backlog_ms(0))
