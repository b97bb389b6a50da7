"""Tests of the checks of published tables."""

import unittest
from typing import Any

from figshunt.tables import check_tables
from tests.builders import build_documents, build_pool, build_route, build_team

ROUTES_ABOVE_FLOOR_LIMIT = [
    build_route("a", floor_share=0.3),
    build_route("b", floor_share=0.3),
]


class CheckTablesTest(unittest.TestCase):
    """Guards against faulty tables that take effect, and faults without a path."""

    def test_each_fault_is_reported_with_its_path(self) -> None:
        route, pool, team = build_route(), build_pool(), build_team()
        cases: list[tuple[str, dict[str, Any], str]] = [
            ("unknown key", {"routes": [route | {"teir": 1}]}, "routes[0].teir"),
            ("wrong unit", {"routes": [route | {"deadline_ms": "20s"}]}, "deadline_ms"),
            ("tier out of range", {"routes": [route | {"tier": 5}]}, "routes[0].tier"),
            ("unknown pool", {"routes": [route | {"pool": "x"}]}, "routes[0].pool"),
            ("duplicate name", {"routes": [route, route]}, "routes[1].name"),
            ("limit of zero", {"pools": [build_pool(limit=0)]}, "pools[0].limit"),
            (
                "cold limit too high",
                {"pools": [build_pool(cold_limit=17)]},
                "cold_limit",
            ),
            ("duplicate runner", {"pools": [pool, build_pool("engines")]}, "pools[1]"),
            ("no runners", {"pools": [build_pool(runners=0)]}, "pools[0].runners"),
            (
                "key is not a hash",
                {"teams": [team | {"key_sha256": "key"}]},
                "key_sha256",
            ),
            ("sum of floors", {"routes": ROUTES_ABOVE_FLOOR_LIMIT}, "floor_share"),
            ("empty list of teams", {"teams": []}, ""),
        ]
        for name, documents, path in cases:
            with self.subTest(name):
                checked = check_tables(*build_documents(**documents))
                if not path:
                    self.assertEqual(checked.faults, ())
                    continue
                self.assertIsNone(checked.tables)
                self.assertIn(path, " ".join(str(fault) for fault in checked.faults))

    def test_all_faults_are_reported(self) -> None:
        routes, pools = build_documents(routes=[build_route(tier=0, pool="x")])
        pools["revision"] = 2
        paths = [fault.path for fault in check_tables(routes, pools).faults]
        self.assertEqual(len(paths), 3)
