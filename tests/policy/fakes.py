"""Fake team weights and run estimates for tests of scheduling policies."""

from figshunt.types import Moment, RoutedRequest, TeamName


class FixedWeights:
    def __init__(self, **weights: float) -> None:
        self.weights = weights

    def weight(self, team: TeamName) -> float:
        return self.weights.get(team, 1.0)


class FixedRunEstimates:
    """Returns the same estimates for every request and counts the calls."""

    def __init__(self, expected_ms: int = 1_000) -> None:
        self.expected_ms = expected_ms
        self.run_ms_calls = 0

    def run_ms(self, routed: RoutedRequest, now: Moment) -> int:
        self.run_ms_calls += 1
        return self.expected_ms

    def first_token_ms(self, routed: RoutedRequest, now: Moment) -> int:
        return 50
