"""A short soak of real hosts, and the seeds that once failed."""

import unittest

from tests.soak import FaultKind, draw_plan, run_soak

SHORT_SEED = 7
SHORT_S = 4.0

# Seeds that once failed, with the cause; each runs as long as it did then.
REGRESSIONS: tuple[tuple[int, float], ...] = (
    # The soak stopped a host that another fault was just starting again.
    (106, 8.0),
    (123, 8.0),
    # A reload was asked for while the program was being imported, and ended it.
    (142, 8.0),
)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Guards the promises to callers under faults that overlap."""

    async def test_short_soak(self) -> None:
        report = await run_soak(SHORT_SEED, SHORT_S)
        self.assertEqual((), report.violations)
        self.assertLess(0, report.results["200"])

    async def test_seeds_that_failed(self) -> None:
        for seed, seconds in REGRESSIONS:
            with self.subTest(seed=seed):
                report = await run_soak(seed, seconds)
                self.assertEqual((), report.violations)


class PlanTest(unittest.TestCase):
    """Guards against plans that can't be repeated or that leave faults out."""

    def test_same_seed_gives_the_same_plan(self) -> None:
        self.assertEqual(draw_plan(3, 8.0), draw_plan(3, 8.0))

    def test_all_kinds_come(self) -> None:
        drawn = {fault.kind for seed in range(30) for fault in draw_plan(seed, 8.0)}
        self.assertEqual(set(FaultKind), drawn)
