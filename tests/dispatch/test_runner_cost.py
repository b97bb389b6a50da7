"""How the parts of a runner's cost weigh against each other."""

import unittest

from figshunt.dispatch._runner_cost import (
    FIRST_STREAM_COST,
    LATE_PENALTY,
    MAX_ANSWER_VALUE,
    _occupancy_cost,
)


class OccupancyTest(unittest.TestCase):
    """Guards against filling an engine until it puts running requests back."""

    def test_filled_engine_costs_more_than_opening_another_that_reads(self) -> None:
        opening = FIRST_STREAM_COST + MAX_ANSWER_VALUE * LATE_PENALTY
        self.assertGreater(MAX_ANSWER_VALUE * _occupancy_cost(0.6), opening)

    def test_engine_with_many_free_slots_costs_little(self) -> None:
        self.assertLess(_occupancy_cost(0.25), 0.1)
