"""Runners that the platform's host list adds to the tables."""

import unittest

from figshunt.control import merge_hosts
from figshunt.types import (
    DataCentreName,
    HostName,
    HostsListed,
    HostState,
    ListedHost,
    PoolName,
    SeatNumber,
    TablesOffered,
    TableSourceKind,
)
from tests.builders import build_pool, build_tables
from tests.harness import VirtualCell

SEAT_0 = SeatNumber(0)


class HostMergeTest(unittest.TestCase):
    """Pools whose runners come from the platform's host list."""

    def host(self, name: str, pool: str = "engines", **changes: str) -> ListedHost:
        return ListedHost(
            HostName(name),
            DataCentreName("accra-1"),
            HostState(changes.get("state", "live")),
            PoolName(pool),
            None if changes.get("url") == "none" else f"http://{name}",
        )

    def test_merge(self) -> None:
        chosen = build_pool(runners=1, select_from_host_list=True)
        fixed = build_pool("fixed", runners=1)
        published = build_tables(pools=[chosen, fixed])
        before = merge_hosts(published, [self.host("a"), self.host("b")], None)
        cases = [
            ("listed", [self.host("b"), self.host("a")], ["engines-1", "a", "b"]),
            ("removed", [self.host("a")], ["engines-1", "a"]),
            ("leaving", [self.host("a", state="leaving")], ["engines-1", "a"]),
            ("empty list keeps the former", [], ["engines-1", "a", "b"]),
            ("other pool", [self.host("c", "fixed")], ["engines-1", "a", "b"]),
            (
                "no URL",
                [self.host("a"), self.host("c", url="none")],
                ["engines-1", "a"],
            ),
            ("same id", [self.host("engines-1"), self.host("a")], ["engines-1", "a"]),
        ]
        for name, hosts, expected in cases:
            with self.subTest(name):
                merged = merge_hosts(published, hosts, before)
                pool = merged.pools_by_name[PoolName("engines")]
                self.assertEqual(list(pool.runner_ids), expected)
                self.assertEqual(set(merged.runners_by_id), {*expected, "fixed-1"})
        unselected = build_tables()
        self.assertIs(merge_hosts(unselected, [self.host("a")], None), unselected)

    def test_list_changes_tables_in_force_without_a_revision(self) -> None:
        cell = VirtualCell(1, 1)
        cell.start_all()
        daemon = cell.daemons[SEAT_0]
        tables = build_tables(pools=[build_pool(runners=0, select_from_host_list=True)])
        daemon.feed(HostsListed([self.host("a")]))
        daemon.feed(TablesOffered(tables, ("", ""), TableSourceKind.SERVICE, "service"))
        daemon.feed(HostsListed([self.host("a"), self.host("b")]))
        current = daemon.revisions.current()
        assert current is not None
        self.assertEqual(sorted(current.runners_by_id), ["a", "b"])
