"""The priorities that engines receive."""

import hashlib
import unittest
from itertools import pairwise, product

from hypothesis import given
from hypothesis import strategies as st

from figshunt.directory import PublishedTeam
from figshunt.dispatch import PRIORITY_LEVELS, PriorityScale
from figshunt.platform._headers import LOWEST_PRIORITY
from figshunt.types import TeamName
from tests.builders import (
    build_call,
    build_configuration,
    build_prompt,
    build_published_route,
    build_published_runner,
)
from tests.dispatch.driver import CoreDriver

ROUTE_URGENCIES = {"chat": 0, "note": 1, "letter": 2}


def build_team(name: str, urgency: int | None) -> dict[str, PublishedTeam]:
    """Return a team by the digest of its key, which is the team's name."""
    digest = hashlib.sha256(name.encode()).hexdigest()
    return {digest: PublishedTeam(TeamName(name), urgency)}


class RequestOrderTest(unittest.TestCase):
    """Guards against engines that preempt a request before a less urgent one."""

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner(),
            configuration=build_configuration(
                *(
                    build_published_route(name, urgency=urgency, is_public=False)
                    for name, urgency in ROUTE_URGENCIES.items()
                ),
                teams_by_key_sha256=build_team("first", 0)
                | build_team("second", 1)
                | build_team("plain", None),
            ),
        )

    def send(self, team: str, route: str) -> int:
        """Send a call and return the priority that its engine receives."""
        call = build_call(
            f"{team}-{route}",
            f"/{route}/1",
            caller_key=team,
            prompt=build_prompt(),
        )
        self.driver.call(call)
        return self.driver.last_attempt().priority

    def test_requests_of_one_team_keep_the_order_of_their_routes(self) -> None:
        for team in ("first", "second", "plain"):
            with self.subTest(team=team):
                priorities = [self.send(team, route) for route in ROUTE_URGENCIES]
                self.assertEqual(sorted(set(priorities)), priorities)

    def test_urgency_of_team_goes_before_that_of_route(self) -> None:
        self.assertLess(self.send("first", "letter"), self.send("second", "chat"))


class PriorityScaleTest(unittest.TestCase):
    """Guards against an order of requests that depends on the range of urgencies."""

    @given(
        route_urgencies=st.sets(st.integers(0, 20), min_size=1, max_size=8),
        team_urgencies=st.sets(st.integers(0, 20), max_size=4),
    )
    def test_priorities_are_valid_and_never_reverse_the_order(
        self, route_urgencies: set[int], team_urgencies: set[int]
    ) -> None:
        teams = {}
        for urgency in team_urgencies:
            teams |= build_team(f"team-{urgency}", urgency)
        scale = PriorityScale(
            build_configuration(
                *(
                    build_published_route(f"route-{urgency}", urgency=urgency)
                    for urgency in route_urgencies
                ),
                teams_by_key_sha256=teams,
            )
        )
        urgencies = sorted(route_urgencies | team_urgencies)
        priorities = [
            scale.priority(urgency, route_urgency)
            for urgency, route_urgency in product(urgencies, sorted(route_urgencies))
        ]
        self.assertLessEqual(set(priorities), set(range(PRIORITY_LEVELS)))
        for first, second in pairwise(priorities):
            self.assertLessEqual(first, second)

    def test_levels_are_those_that_the_platform_knows(self) -> None:
        self.assertEqual(LOWEST_PRIORITY, PRIORITY_LEVELS - 1)
