"""Tests of the readable difference between two revisions."""

import unittest

from figshunt.tables import describe_difference
from tests.builders import build_pool, build_route, build_tables, build_team


class DifferenceTest(unittest.TestCase):
    """Guards against changes that the audit trail leaves out or misstates."""

    def test_changes_between_revisions(self) -> None:
        before = build_tables(1)
        cases = [
            ({}, ()),
            ({"routes": [build_route(tier=3)]}, ("route chat: tier 2 -> 3",)),
            (
                {"pools": [build_pool(runners=2)]},
                ("pool engines: runner_ids +engines-2", "runner engines-2: added"),
            ),
            (
                {"teams": [build_team("team-b", "other")]},
                ("team team-b: added", "team team-a: removed"),
            ),
            (
                {"teams": [build_team(caller_key="new")]},
                ("team team-a: key_sha256 changed",),
            ),
        ]
        for changes, expected in cases:
            with self.subTest(expected):
                after = build_tables(2, **changes)
                self.assertEqual(describe_difference(before, after), expected)

    def test_long_difference_is_truncated(self) -> None:
        teams = [build_team(f"team-{number}", str(number)) for number in range(200)]
        lines = describe_difference(build_tables(1), build_tables(2, teams=teams))
        self.assertEqual((len(lines), lines[-1]), (50, "and 152 more changes"))
