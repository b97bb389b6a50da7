"""Tests of table revisions in one cell, in virtual time."""

import unittest

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from figshunt.types import (
    CountEvent,
    PeerReceived,
    RecordAudit,
    RevisionNumber,
    SeatNumber,
    SendPeer,
    StopRequested,
    TablesAnnounce,
    TableSourceKind,
    TablesReceived,
    TablesRefused,
    TablesRequest,
    TablesTransfer,
)
from tests.builders import build_route, build_tables
from tests.harness import VirtualCell, VirtualDaemon

MAX_SPREAD_MS = 3_000
SEAT_0 = SeatNumber(0)


def start_cell(seats: int = 5, revision: int = 1, seed: int = 1) -> VirtualCell:
    """Return a cell in which the revision is in force on every daemon."""
    cell = VirtualCell(seed, seats)
    cell.publish(revision)
    cell.start_all()
    cell.run(5_000)
    return cell


def live_revisions(cell: VirtualCell) -> list[int]:
    return [daemon.revision for daemon in cell.daemons.values() if daemon.is_alive]


class RevisionSpreadTest(unittest.TestCase):
    """Which daemon reads the service, and how a revision reaches its peers."""

    def test_one_daemon_reads_and_all_apply_the_revision_in_time(self) -> None:
        cell = start_cell()
        readers = [daemon.table_reader.is_reading for daemon in cell.daemons.values()]
        self.assertEqual(readers, [True, False, False, False, False])
        cell.publish(2)
        cell.run(MAX_SPREAD_MS)
        self.assertEqual(live_revisions(cell), [2] * 5)

    def test_next_seat_reads_while_the_lowest_cannot(self) -> None:
        """Guards against a cell that misses revisions because its reader failed."""

        def drain(cell: VirtualCell) -> None:
            cell.daemons[SEAT_0].handle_message(StopRequested())

        cases = {
            "dead": lambda cell: cell.stop(SEAT_0),
            "paused": lambda cell: cell.pause(SEAT_0),
            "reads fail": lambda cell: cell.seats_without_service.add(SEAT_0),
            "cut off": lambda cell: [
                cell.set_cut(SEAT_0, other, True) for other in cell.seats[1:]
            ],
            "draining": drain,
        }
        for name, disable_reader in cases.items():
            with self.subTest(name):
                cell = start_cell()
                disable_reader(cell)
                cell.publish(2)
                cell.run(MAX_SPREAD_MS)
                self.assertEqual(live_revisions(cell)[-4:], [2] * 4)
                self.assertTrue(cell.daemons[SeatNumber(1)].table_reader.is_reading)
                self.assertFalse(cell.daemons[SeatNumber(2)].table_reader.is_reading)

    def test_stale_replica_of_the_reader_is_detected(self) -> None:
        """Guards against a reader whose stale replica hides newer revisions."""
        cell = start_cell(revision=5)
        cell.stale_revision_by_seat[SEAT_0] = 4
        cell.run(500)
        cell.publish(6)
        cell.run(MAX_SPREAD_MS)
        self.assertEqual(live_revisions(cell), [6] * 5)
        stale_reads = [
            effect
            for effect in cell.daemons[SEAT_0].effects
            if isinstance(effect, CountEvent) and effect.counter == "tables_stale"
        ]
        self.assertTrue(stale_reads)

    def test_lowest_seat_reads_again_after_recovery(self) -> None:
        cell = start_cell()
        cell.seats_without_service.add(SEAT_0)
        cell.run(3_000)
        cell.seats_without_service.clear()
        cell.run(3_000)
        readers = [daemon.table_reader.is_reading for daemon in cell.daemons.values()]
        self.assertEqual(readers, [True, False, False, False, False])

    def test_revision_survives_replacing_every_host_while_the_service_is_down(
        self,
    ) -> None:
        """Guards against a revision that is lost when its hosts are replaced.

        New daemons can only get it from peers while the service is down.
        """
        cell = start_cell(revision=7)
        cell.seats_without_service.update(cell.seats)
        for seat in cell.seats:
            cell.start(seat)
            cell.run(2_500)
            self.assertTrue(cell.daemons[seat].is_ready)
            self.assertEqual(live_revisions(cell), [7] * 5)

    def test_a_revision_is_sent_once_to_each_peer(self) -> None:
        """Guards against a new transfer of the tables after each heartbeat."""
        cell = start_cell()
        for daemon in cell.daemons.values():
            daemon.effects.clear()
        cell.publish(2)
        cell.run(10_000)
        sent = [
            effect
            for daemon in cell.daemons.values()
            for effect in daemon.effects
            if isinstance(effect, SendPeer)
        ]
        transfers = [
            effect for effect in sent if isinstance(effect.message, TablesTransfer)
        ]
        self.assertEqual(len(transfers), 4)


class RevisionSyncTest(unittest.TestCase):
    """Synchronization of revisions at start and after a pause."""

    def test_not_ready_before_every_peer_has_answered(self) -> None:
        """Guards against a start with stale tables although a peer has newer ones."""
        for seed in range(8):
            cell = start_cell(revision=9, seed=seed)
            cell.stale_revision_by_seat = dict.fromkeys(cell.seats, 3)
            daemon = cell.start(SEAT_0)
            cell.run(1)
            self.assertEqual((daemon.revision, daemon.is_ready), (3, False))
            cell.run(500)
            self.assertEqual((daemon.ready_revision, daemon.is_ready), (9, True))

    def test_unreachable_peers_delay_readiness_for_a_limited_time(self) -> None:
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
        self.assertFalse(any(daemon.is_ready for daemon in cell.daemons.values()))
        cell.publish(1)
        cell.run(1_000)
        self.assertTrue(all(daemon.is_ready for daemon in cell.daemons.values()))

    def test_resumed_daemon_queries_its_peers_before_new_work(self) -> None:
        """Guards against new work that follows tables from before a pause.

        Answers to an earlier query must not complete the new one.
        """
        cell = start_cell()
        seat = SeatNumber(3)
        daemon = cell.daemons[seat]
        cell.pause(seat)
        cell.publish(2)
        cell.run(10_000)
        cell.resume(seat)
        for other in cell.seats:
            outdated_answer = TablesAnnounce(RevisionNumber(1), answers=7)
            daemon.handle_message(PeerReceived(other, outdated_answer))
        self.assertFalse(daemon.revisions.is_synchronized())
        cell.run(100)
        self.assertEqual(
            (daemon.revisions.is_synchronized(), daemon.revision), (True, 2)
        )

    def test_resumed_daemon_without_peers_waits_for_a_read(self) -> None:
        for is_down in (False, True):
            cell = start_cell(seats=1)
            if is_down:
                cell.seats_without_service.add(SEAT_0)
            cell.pause(SEAT_0)
            cell.run(5_000)
            cell.resume(SEAT_0)
            self.assertFalse(cell.daemons[SEAT_0].revisions.is_synchronized())
            cell.run(500)
            self.assertTrue(cell.daemons[SEAT_0].revisions.is_synchronized())

    def test_stopping_daemon_does_not_become_ready(self) -> None:
        cell = start_cell()
        daemon = cell.daemons[SEAT_0]
        daemon.handle_message(StopRequested())
        cell.pause(SEAT_0)
        cell.run(5_000)
        cell.resume(SEAT_0)
        cell.run(5_000)
        self.assertTrue(daemon.revisions.is_synchronized())
        self.assertFalse(daemon.is_ready)

    def test_isolated_daemon_reports_the_age_of_its_last_read(self) -> None:
        cell = start_cell(seats=3)
        cell.seats_without_service.update(cell.seats)
        for other in cell.seats[1:]:
            cell.set_cut(SEAT_0, other, True)
        cell.run(20_000)
        status = cell.daemons[SEAT_0].revisions.status(cell.clock.now())
        assert status.in_force is not None and status.last_read_age_ms is not None
        self.assertTrue(status.is_isolated)
        self.assertGreaterEqual(status.last_read_age_ms, 20_000)
        self.assertEqual(status.in_force.source, TableSourceKind.SERVICE)


class RefusedRevisionTest(unittest.TestCase):
    """Revisions that don't take effect, and their audit entries."""

    def setUp(self) -> None:
        self.cell = VirtualCell(1, 1)
        self.cell.publish(5)
        self.cell.start_all()
        self.cell.run(1_000)
        self.daemon: VirtualDaemon = self.cell.daemons[SEAT_0]
        self.cell.seats_without_service.add(SEAT_0)
        self.daemon.effects.clear()

    def refuse(self, digest: str, is_unpaired: bool = False) -> None:
        self.daemon.handle_message(
            TablesRefused(
                RevisionNumber(6),
                ("routes:.routes[0].tier: expected 1 to 4", "pools:.pools: a list"),
                TableSourceKind.SERVICE,
                "service",
                digest,
                is_unpaired,
            )
        )

    def count_audit_records(self) -> int:
        return self.daemon.count_effects(RecordAudit)

    def test_all_faults_are_recorded_once_per_content(self) -> None:
        for digest in ("a", "a", "b", "a"):
            self.refuse(digest)
        self.assertEqual(self.count_audit_records(), 2)
        entry = self.daemon.revisions.status(self.cell.clock.now()).audit[-1]
        self.assertEqual((len(entry.refusals), entry.in_force_ms), (2, None))
        self.assertEqual(self.daemon.revision, 5)

    def test_unpaired_documents_are_accepted_within_the_grace_period(self) -> None:
        """Guards against a refusal at each ordinary change of both documents.

        The documents are published one after the other.
        """
        self.refuse("unpaired", is_unpaired=True)
        self.cell.run(4_000)
        self.assertEqual(self.count_audit_records(), 0)
        received = self.cell.build_tables_message(
            "6", TableSourceKind.SERVICE, "service"
        )
        self.daemon.handle_message(received)
        self.cell.run(10_000)
        self.assertEqual((self.count_audit_records(), self.daemon.revision), (1, 6))

    def test_unpaired_documents_are_refused_after_the_grace_period(self) -> None:
        for _ in range(3):
            self.refuse("unpaired", is_unpaired=True)
            self.cell.run(3_000)
        self.assertEqual(self.count_audit_records(), 1)

    def test_same_revision_with_other_content_is_refused(self) -> None:
        """Guards against hosts with different tables under the same revision."""
        changed = build_tables(5, routes=[build_route(tier=1)])
        for digest in ("x", "x"):
            source = TableSourceKind.SERVICE
            self.daemon.handle_message(
                TablesReceived(changed, ("", ""), source, "service", digest)
            )
        self.daemon.handle_message(
            self.cell.build_tables_message("5", TableSourceKind.PEER, "seat 1")
        )
        self.assertEqual(self.count_audit_records(), 1)
        (entry,) = [effect.entry for effect in self.daemon.effects]
        self.assertIn("other content", entry.refusals[0])
        self.assertEqual(entry.changes, ("route chat: tier 2 -> 1",))

    def test_audit_trail_is_bounded(self) -> None:
        for number in range(300):
            self.refuse(f"content {number}")
        entries = self.daemon.revisions.status(self.cell.clock.now()).audit
        self.assertEqual(len(entries), 256)

    def test_transfer_that_fails_its_checks_is_not_requested_again(self) -> None:
        """Guards against repeated transfers to a daemon that refuses the tables."""
        cell = start_cell(seats=3)
        daemon = cell.daemons[SEAT_0]
        daemon.effects.clear()
        cell.build_tables_message = (  # type: ignore
            lambda text, source, peer: TablesRefused(
                RevisionNumber(int(text)), ("no",), source, peer, text
            )
        )
        cell.seats_without_service.add(SEAT_0)
        other = cell.daemons[SeatNumber(1)]
        other.handle_message(
            TablesReceived(
                build_tables(9), ("9", ""), TableSourceKind.SERVICE, "s", "9"
            )
        )
        cell.run(10_000)
        requests = [
            effect
            for effect in daemon.effects
            if isinstance(effect, SendPeer)
            and isinstance(effect.message, TablesRequest)
        ]
        self.assertEqual(len(requests), 1)


class RevisionPropertyTest(unittest.TestCase):
    """Random schedules with lost, duplicate and reordered messages and restarts."""

    ACTIONS = (
        *("publish", "publish", "publish", "stale", "fresh", "down", "up"),
        *("cut", "mend", "restart", "pause", "resume"),
    )

    @settings(max_examples=25, deadline=None, phases=(Phase.explicit, Phase.generate))
    @given(st.integers(0, 2**32))
    def test_revisions_never_decrease_and_the_highest_reaches_all(
        self, seed: int
    ) -> None:
        """Guards against a daemon that reverts to or remains on an old revision.

        ``VirtualDaemon.handle_message`` checks after every message that the revision
        did not decrease.
        """
        cell = VirtualCell(seed, 5, loss_rate=0.2)
        cell.publish(1)
        cell.start_all()
        for _ in range(30):
            action = cell.random.choice(self.ACTIONS)
            self.apply_action(cell, action, *cell.random.choices(cell.seats, k=2))
            cell.run(cell.random.randint(0, 1_500))
        cell.heal()
        for seat in cell.seats:
            cell.resume(seat)
        cell.seats_without_service.update(cell.seats)
        highest_revision = max(live_revisions(cell))
        cell.run(20_000)
        self.assertEqual(live_revisions(cell), [highest_revision] * 5)
        ready = [daemon.is_ready for daemon in cell.daemons.values()]
        self.assertEqual(ready, [highest_revision > 0] * 5)

    def apply_action(
        self, cell: VirtualCell, name: str, seat: SeatNumber, other: SeatNumber
    ) -> None:
        match name:
            case "publish":
                cell.publish(cell.published_revision + 1)
            case "stale":
                cell.stale_revision_by_seat[seat] = max(
                    1, cell.published_revision - other
                )
            case "fresh":
                cell.stale_revision_by_seat.pop(seat, None)
            case "down":
                cell.seats_without_service.add(seat)
            case "up":
                cell.seats_without_service.discard(seat)
            case "cut" | "mend":
                cell.set_cut(seat, other, name == "cut")
            case "restart":
                cell.start(seat)
            case "pause":
                cell.pause(seat)
            case "resume":
                cell.resume(seat)
