"""The order in which held calls of several teams are tried."""

import unittest
from dataclasses import dataclass

from figshunt.dispatch import RoutedCall
from figshunt.dispatch.waiting._team_turns import TeamTurns
from figshunt.types import Moment, PoolName, TeamName
from tests.builders import build_call, build_published_route


@dataclass(frozen=True)
class Waiting:
    routed: RoutedCall


def build_waiting(team: str, number: int) -> Waiting:
    route = build_published_route()
    call = build_call(f"{team}{number}")
    pool, name = PoolName("engines"), TeamName(team)
    return Waiting(RoutedCall(call, route, pool, name, 0, 0, 1_000 - number))


class TeamTurnsTest(unittest.TestCase):
    """Guards against a team that keeps the others waiting by sending more calls."""

    def test_large_team_waits_behind_its_own_calls(self) -> None:
        turns = TeamTurns()
        large = [build_waiting("large", number) for number in range(7)]
        for waiting in large[:3]:
            turns.record(waiting.routed, Moment(0, 0))
        small = [build_waiting("small", number) for number in range(2)]
        order = [
            waiting.routed.call_id for waiting in turns.in_turn([*large, *small], 0)
        ]
        # Of one team, the call with the least time left goes first.
        self.assertEqual(["small1", "small0", "large6", "large5"], order[:4])
        self.assertEqual(9, len(order))


if __name__ == "__main__":
    unittest.main()
