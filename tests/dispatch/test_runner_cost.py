"""The relative weight of the terms of a runner's cost."""

import unittest

from figshunt.dispatch.placement._runner_cost import (
    FIRST_STREAM_COST,
    LATE_PENALTY,
    MAX_ANSWER_VALUE,
    _occupancy_cost,
)


class OccupancyTest(unittest.TestCase):
    """Guards against filling an engine until it preempts running requests."""

    def test_filled_engine_costs_more_than_first_stream_on_another(self) -> None:
        first_stream_cost = FIRST_STREAM_COST + MAX_ANSWER_VALUE * LATE_PENALTY
        self.assertGreater(MAX_ANSWER_VALUE * _occupancy_cost(0.6), first_stream_cost)

    def test_engine_with_many_free_slots_costs_little(self) -> None:
        self.assertLess(_occupancy_cost(0.25), 0.1)
