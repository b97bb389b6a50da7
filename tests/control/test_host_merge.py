"""Tests of merging the platform's host list into the tables."""

import unittest

from figshunt.control import merge_hosts
from figshunt.types import (
    DataCentreName,
    HostListEntry,
    HostListReceived,
    HostName,
    HostState,
    PoolName,
    SeatNumber,
    TableSourceKind,
    TablesReceived,
)
from tests.builders import build_pool, build_tables
from tests.harness import VirtualCell

SEAT_0 = SeatNumber(0)


class HostMergeTest(unittest.TestCase):
    """Guards against pools that lose all runners or gain ones of another pool.

    A list without runners for a pool is probably wrong, so the pool keeps its
    previous runners.
    """

    def entry(self, name: str, pool: str = "engines", **changes: str) -> HostListEntry:
        return HostListEntry(
            HostName(name),
            DataCentreName("accra-1"),
            HostState(changes.get("state", "live")),
            PoolName(pool),
            None if changes.get("url") == "none" else f"http://{name}",
        )

    def test_host_list_adds_and_removes_runners(self) -> None:
        selecting_pool = build_pool(runners=1, select_from_host_list=True)
        fixed_pool = build_pool("fixed", runners=1)
        published = build_tables(pools=[selecting_pool, fixed_pool])
        previous = merge_hosts(published, [self.entry("a"), self.entry("b")], None)
        cases = [
            (
                "listed",
                [self.entry("b"), self.entry("a")],
                ["engines-1", "a", "b"],
            ),
            ("removed", [self.entry("a")], ["engines-1", "a"]),
            ("leaving", [self.entry("a", state="leaving")], ["engines-1", "a"]),
            ("empty list keeps the previous runners", [], ["engines-1", "a", "b"]),
            ("other pool", [self.entry("c", "fixed")], ["engines-1", "a", "b"]),
            (
                "no URL",
                [self.entry("a"), self.entry("c", url="none")],
                ["engines-1", "a"],
            ),
            (
                "same id",
                [self.entry("engines-1"), self.entry("a")],
                ["engines-1", "a"],
            ),
        ]
        for name, hosts, expected in cases:
            with self.subTest(name):
                merged = merge_hosts(published, hosts, previous)
                pool = merged.pools_by_name[PoolName("engines")]
                self.assertEqual(list(pool.runner_ids), expected)
                self.assertEqual(set(merged.runners_by_id), {*expected, "fixed-1"})
        unchanged = build_tables()
        self.assertIs(merge_hosts(unchanged, [self.entry("a")], None), unchanged)

    def test_host_list_changes_tables_in_force_without_a_new_revision(self) -> None:
        cell = VirtualCell(1, 1)
        cell.start_all()
        daemon = cell.daemons[SEAT_0]
        tables = build_tables(pools=[build_pool(runners=0, select_from_host_list=True)])
        daemon.handle_message(HostListReceived([self.entry("a")]))
        daemon.handle_message(
            TablesReceived(tables, ("", ""), TableSourceKind.SERVICE, "service")
        )
        daemon.handle_message(HostListReceived([self.entry("a"), self.entry("b")]))
        current = daemon.revisions.current()
        assert current is not None
        self.assertEqual(sorted(current.runners_by_id), ["a", "b"])
