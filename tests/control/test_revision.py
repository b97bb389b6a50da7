"""Table revisions in one cell, in virtual time."""

import unittest

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from figshunt.control import merge_hosts
from figshunt.tables import describe_difference
from figshunt.types import (
    CountEvent,
    DataCentreName,
    HostName,
    HostsListed,
    HostState,
    ListedHost,
    PeerReceived,
    PoolName,
    RecordAudit,
    RevisionNumber,
    SeatNumber,
    SendPeer,
    StopRequested,
    TablesAnnounce,
    TablesOffered,
    TableSourceKind,
    TablesRefused,
    TablesRequest,
    TablesTransfer,
)
from tests.builders import build_pool, build_route, build_tables, build_team
from tests.harness import VirtualCell, VirtualDaemon

IN_FORCE_LIMIT_MS = 3_000
SEAT_0 = SeatNumber(0)


def start_cell(seats: int = 5, revision: int = 1, seed: int = 1) -> VirtualCell:
    """Return a cell in which the revision is in force everywhere."""
    cell = VirtualCell(seed, seats)
    cell.publish(revision)
    cell.start_all()
    cell.run(5_000)
    return cell


def revisions_of(cell: VirtualCell) -> list[int]:
    return [one.revision for one in cell.daemons.values() if one.is_alive]


class SpreadTest(unittest.TestCase):
    """Which daemon reads, and how a revision reaches the others."""

    def test_one_daemon_reads_and_all_have_the_revision_in_time(self) -> None:
        cell = start_cell()
        readers = [one.reader.is_reading for one in cell.daemons.values()]
        self.assertEqual(readers, [True, False, False, False, False])
        cell.publish(2)
        cell.run(IN_FORCE_LIMIT_MS)
        self.assertEqual(revisions_of(cell), [2] * 5)

    def test_another_seat_reads_when_the_lowest_cannot(self) -> None:
        """Guards against a cell that misses a revision with its reader."""

        def drain(cell: VirtualCell) -> None:
            cell.daemons[SEAT_0].feed(StopRequested())

        cases = {
            "dead": lambda cell: cell.stop(SEAT_0),
            "paused": lambda cell: cell.pause(SEAT_0),
            "reads fail": lambda cell: cell.down.add(SEAT_0),
            "cut off": lambda cell: [
                cell.set_cut(SEAT_0, other, True) for other in cell.seats[1:]
            ],
            "draining": drain,
        }
        for name, break_reader in cases.items():
            with self.subTest(name):
                cell = start_cell()
                break_reader(cell)
                cell.publish(2)
                cell.run(IN_FORCE_LIMIT_MS)
                self.assertEqual(revisions_of(cell)[-4:], [2] * 4)
                self.assertTrue(cell.daemons[SeatNumber(1)].reader.is_reading)
                self.assertFalse(cell.daemons[SeatNumber(2)].reader.is_reading)

    def test_stale_replica_of_the_reader_is_noticed(self) -> None:
        """Guards against a lowest seat whose stale service hides revisions."""
        cell = start_cell(revision=5)
        cell.stale_by_seat[SEAT_0] = 4
        cell.run(500)
        cell.publish(6)
        cell.run(IN_FORCE_LIMIT_MS)
        self.assertEqual(revisions_of(cell), [6] * 5)
        stale = [
            one
            for one in cell.daemons[SEAT_0].effects
            if isinstance(one, CountEvent) and one.counter == "tables_stale"
        ]
        self.assertTrue(stale)

    def test_reading_goes_back_to_the_lowest_seat(self) -> None:
        cell = start_cell()
        cell.down.add(SEAT_0)
        cell.run(3_000)
        cell.down.clear()
        cell.run(3_000)
        readers = [one.reader.is_reading for one in cell.daemons.values()]
        self.assertEqual(readers, [True, False, False, False, False])

    def test_every_host_is_replaced_in_turn_with_the_service_down(self) -> None:
        """Guards against a revision that is lost with the hosts that knew it."""
        cell = start_cell(revision=7)
        cell.down.update(cell.seats)
        for seat in cell.seats:
            cell.start(seat)
            cell.run(2_500)
            self.assertTrue(cell.daemons[seat].is_ready)
            self.assertEqual(revisions_of(cell), [7] * 5)

    def test_a_revision_is_sent_once_to_each_peer(self) -> None:
        """Guards against tables that are sent again with each heartbeat."""
        cell = start_cell()
        for one in cell.daemons.values():
            one.effects.clear()
        cell.publish(2)
        cell.run(10_000)
        sent = [
            effect
            for one in cell.daemons.values()
            for effect in one.effects
            if isinstance(effect, SendPeer)
        ]
        transfers = [one for one in sent if isinstance(one.message, TablesTransfer)]
        self.assertEqual(len(transfers), 4)


class JoinTest(unittest.TestCase):
    """When a starting daemon is ready, and when a resumed one goes on."""

    def test_not_ready_before_every_peer_answered(self) -> None:
        """Guards against a start on stale tables that a peer could correct."""
        for seed in range(8):
            cell = start_cell(revision=9, seed=seed)
            cell.stale_by_seat = dict.fromkeys(cell.seats, 3)
            daemon = cell.start(SEAT_0)
            cell.run(1)
            self.assertEqual((daemon.revision, daemon.is_ready), (3, False))
            cell.run(500)
            self.assertEqual((daemon.ready_revision, daemon.is_ready), (9, True))

    def test_silent_peers_are_awaited_for_a_limited_time(self) -> None:
        cell = start_cell(seats=3)
        cell.stop(SeatNumber(2))
        daemon = cell.start(SEAT_0)
        cell.run(1_900)
        self.assertFalse(daemon.is_ready)
        cell.run(200)
        self.assertTrue(daemon.is_ready)

    def test_never_ready_without_tables(self) -> None:
        cell = VirtualCell(1, 3)
        cell.start_all()
        cell.run(5_000)
        self.assertFalse(any(one.is_ready for one in cell.daemons.values()))
        cell.publish(1)
        cell.run(1_000)
        self.assertTrue(all(one.is_ready for one in cell.daemons.values()))

    def test_resumed_daemon_asks_before_it_goes_on(self) -> None:
        """Guards against new work sent by tables from before a pause."""
        cell = start_cell()
        seat = SeatNumber(3)
        daemon = cell.daemons[seat]
        cell.pause(seat)
        cell.publish(2)
        cell.run(10_000)
        cell.resume(seat)
        for other in cell.seats:
            old_answer = TablesAnnounce(RevisionNumber(1), answers=7)
            daemon.feed(PeerReceived(other, old_answer))
        self.assertFalse(daemon.revisions.is_settled())
        cell.run(100)
        self.assertEqual((daemon.revisions.is_settled(), daemon.revision), (True, 2))

    def test_resumed_daemon_without_peers_goes_on_after_a_read(self) -> None:
        for is_down in (False, True):
            cell = start_cell(seats=1)
            if is_down:
                cell.down.add(SEAT_0)
            cell.pause(SEAT_0)
            cell.run(5_000)
            cell.resume(SEAT_0)
            self.assertFalse(cell.daemons[SEAT_0].revisions.is_settled())
            cell.run(500)
            self.assertTrue(cell.daemons[SEAT_0].revisions.is_settled())

    def test_stopping_daemon_is_not_ready(self) -> None:
        cell = start_cell()
        daemon = cell.daemons[SEAT_0]
        daemon.feed(StopRequested())
        cell.run(5_000)
        self.assertFalse(daemon.is_ready)

    def test_lone_daemon_says_how_old_its_knowledge_is(self) -> None:
        cell = start_cell(seats=3)
        cell.down.update(cell.seats)
        for other in cell.seats[1:]:
            cell.set_cut(SEAT_0, other, True)
        cell.run(20_000)
        status = cell.daemons[SEAT_0].revisions.status(cell.clock.now())
        assert status.in_force is not None and status.last_read_age_ms is not None
        self.assertTrue(status.is_alone)
        self.assertGreaterEqual(status.last_read_age_ms, 20_000)
        self.assertEqual(status.in_force.source, TableSourceKind.SERVICE)


class RefusalTest(unittest.TestCase):
    """What doesn't take effect, and what the audit trail says of it."""

    def setUp(self) -> None:
        self.cell = VirtualCell(1, 1)
        self.cell.publish(5)
        self.cell.start_all()
        self.cell.run(1_000)
        self.daemon: VirtualDaemon = self.cell.daemons[SEAT_0]
        self.cell.down.add(SEAT_0)
        self.daemon.effects.clear()

    def refuse(self, digest: str, is_unpaired: bool = False) -> None:
        self.daemon.feed(
            TablesRefused(
                RevisionNumber(6),
                ("routes:.routes[0].tier: expected 1 to 4", "pools:.pools: a list"),
                TableSourceKind.SERVICE,
                "service",
                digest,
                is_unpaired,
            )
        )

    def audits(self) -> int:
        return self.daemon.count(RecordAudit)

    def test_faults_are_recorded_whole_and_once_for_each_content(self) -> None:
        for digest in ("a", "a", "b", "a"):
            self.refuse(digest)
        self.assertEqual(self.audits(), 2)
        entry = self.daemon.revisions.status(self.cell.clock.now()).audit[-1]
        self.assertEqual((len(entry.refusals), entry.in_force_ms), (2, None))
        self.assertEqual(self.daemon.revision, 5)

    def test_unpaired_documents_are_no_fault_for_a_while(self) -> None:
        """Guards against a fault for each ordinary change of both tables."""
        self.refuse("half", is_unpaired=True)
        self.cell.run(4_000)
        self.assertEqual(self.audits(), 0)
        offered = self.cell.offer("6", TableSourceKind.SERVICE, "service")
        self.daemon.feed(offered)
        self.cell.run(10_000)
        self.assertEqual((self.audits(), self.daemon.revision), (1, 6))

    def test_unpaired_documents_are_refused_after_the_grace_time(self) -> None:
        for _ in range(3):
            self.refuse("half", is_unpaired=True)
            self.cell.run(3_000)
        self.assertEqual(self.audits(), 1)

    def test_same_revision_with_other_content_is_refused(self) -> None:
        """Guards against hosts that hold different tables as one revision."""
        changed = build_tables(5, routes=[build_route(tier=1)])
        for digest in ("x", "x"):
            source = TableSourceKind.SERVICE
            self.daemon.feed(
                TablesOffered(changed, ("", ""), source, "service", digest)
            )
        self.daemon.feed(self.cell.offer("5", TableSourceKind.PEER, "seat 1"))
        self.assertEqual(self.audits(), 1)
        (entry,) = [one.entry for one in self.daemon.effects]
        self.assertIn("other content", entry.refusals[0])
        self.assertEqual(entry.changes, ("route chat: tier 2 -> 1",))

    def test_trail_is_bounded(self) -> None:
        for number in range(300):
            self.refuse(f"content {number}")
        trail = self.daemon.revisions.status(self.cell.clock.now()).audit
        self.assertEqual(len(trail), 256)

    def test_transfer_that_fails_its_checks_is_not_asked_for_again(self) -> None:
        """Guards against tables sent over and over to a peer that refuses them."""
        cell = start_cell(seats=3)
        daemon = cell.daemons[SEAT_0]
        daemon.effects.clear()
        cell.offer = lambda text, source, peer: TablesRefused(  # type: ignore
            RevisionNumber(int(text)), ("no",), source, peer, text
        )
        cell.down.add(SEAT_0)
        other = cell.daemons[SeatNumber(1)]
        other.feed(
            TablesOffered(build_tables(9), ("9", ""), TableSourceKind.SERVICE, "s", "9")
        )
        cell.run(10_000)
        requests = [
            one
            for one in daemon.effects
            if isinstance(one, SendPeer) and isinstance(one.message, TablesRequest)
        ]
        self.assertEqual(len(requests), 1)


class PropertyTest(unittest.TestCase):
    """Many daemons with drops, duplicates, reordering and restarts."""

    ACTIONS = (
        *("publish", "publish", "publish", "stale", "fresh", "down", "up"),
        *("cut", "mend", "restart", "pause", "resume"),
    )

    @settings(max_examples=25, deadline=None, phases=(Phase.explicit, Phase.generate))
    @given(st.integers(0, 2**32))
    def test_revisions_never_fall_and_the_highest_reaches_all(self, seed: int) -> None:
        """Guards against a revert, and against a daemon left behind.

        ``VirtualDaemon.feed`` checks after every message that the revision
        did not fall.
        """
        cell = VirtualCell(seed, 5, loss=0.2)
        cell.publish(1)
        cell.start_all()
        for _ in range(30):
            action = cell.random.choice(self.ACTIONS)
            self.act(cell, action, *cell.random.choices(cell.seats, k=2))
            cell.run(cell.random.randint(0, 1_500))
        cell.heal()
        for seat in cell.seats:
            cell.resume(seat)
        cell.down.update(cell.seats)
        highest = max(revisions_of(cell))
        cell.run(20_000)
        self.assertEqual(revisions_of(cell), [highest] * 5)
        ready = [one.is_ready for one in cell.daemons.values()]
        self.assertEqual(ready, [highest > 0] * 5)

    def act(
        self, cell: VirtualCell, name: str, seat: SeatNumber, other: SeatNumber
    ) -> None:
        match name:
            case "publish":
                cell.publish(cell.published + 1)
            case "stale":
                cell.stale_by_seat[seat] = max(1, cell.published - other)
            case "fresh":
                cell.stale_by_seat.pop(seat, None)
            case "down":
                cell.down.add(seat)
            case "up":
                cell.down.discard(seat)
            case "cut" | "mend":
                cell.set_cut(seat, other, name == "cut")
            case "restart":
                cell.start(seat)
            case "pause":
                cell.pause(seat)
            case "resume":
                cell.resume(seat)


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


class DifferenceTest(unittest.TestCase):
    """Lines that tell operators what a revision changes."""

    def test_lines(self) -> None:
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

    def test_long_differences_are_cut(self) -> None:
        teams = [build_team(f"team-{one}", str(one)) for one in range(200)]
        lines = describe_difference(build_tables(1), build_tables(2, teams=teams))
        self.assertEqual((len(lines), lines[-1]), (50, "and 152 more changes"))
