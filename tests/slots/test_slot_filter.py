"""Rules of the slot filter for owned, lent and borrowed slots."""

import unittest
from typing import Any

from figshunt.types import (
    CancelAttempt,
    ClockJumped,
    ColdEvidence,
    Message,
    PeerReceived,
    ReturnedSlots,
    RunnerNotice,
    SeatNumber,
    SendPeer,
    SlotLoan,
    SlotOffer,
    SlotRequest,
    SlotRequestId,
    SlotReturn,
    StartIdentity,
    StopRequested,
    TimerDue,
)
from tests.builders import build_load_reported
from tests.slots.cell_simulation import POOL
from tests.slots.host_harness import (
    RUNNER,
    SlotHostHarness,
    build_loan,
    build_slot_request,
)

COLD = {"completed": 0}
WARM = {"completed": 1000}
RESTART = {"completed": 0, "start": "start-2"}


def count_lent(sent: list[Any]) -> int:
    """Return how many slots the messages lend."""
    loans = [message for message in sent if isinstance(message, SlotLoan)]
    return sum(slots.count for loan in loans for slots in loan.slots)


def returned_slots(sent: list[Any]) -> list[ReturnedSlots]:
    returns = [message for message in sent if isinstance(message, SlotReturn)]
    return [loan for message in returns for loan in message.loans]


class SeatShareTest(unittest.TestCase):
    """Guards against using slots that a predecessor in the seat may still use."""

    def test_slots_used_by_a_new_occupant(self) -> None:
        # The seat owns 2 of the 10 slots of a cold runner, 4 of 20 of a warm one.
        rows: list[tuple[str, int, int, int, dict[str, Any], int]] = [
            ("cold at start", 5, 5_750, 4, COLD, 0),
            ("cold when settled", 5, 6_250, 4, COLD, 2),
            ("cold with work of a predecessor", 5, 6_250, 4, COLD | {"running": 1}, 1),
            ("cold after the longest run", 5, 10_000, 4, COLD | {"running": 9}, 2),
            ("cold without majority", 5, 12_000, 1, COLD, 0),
            ("warm at start", 5, 250, 4, WARM, 4),
            ("warm without majority", 5, 250, 0, WARM, 4),
            ("warm and nearly full", 5, 250, 4, WARM | {"running": 18}, 2),
            ("warm and full", 5, 250, 4, WARM | {"running": 20}, 0),
            ("only seat, cold at start", 1, 250, 0, COLD, 10),
            ("only seat, work of a predecessor", 1, 250, 0, COLD | {"running": 3}, 7),
        ]
        for name, seats, wait_ms, peers, load, expected in rows:
            with self.subTest(name):
                host = SlotHostHarness(seats)
                host.advance(wait_ms, peers, **load)
                self.assertEqual(host.start(), expected)

    def test_majority_lost_stops_new_work_on_a_cold_runner(self) -> None:
        """Guards against two occupants of a seat that use the same cold slots.

        An occupant without a majority may have been replaced, and its successor
        uses cold runners after the startup wait.
        """
        host = SlotHostHarness()
        host.advance(6_250, **COLD)
        host.advance(3_000, peers=1, **COLD)
        self.assertEqual(host.start(1), 1)
        host.advance(250, peers=1, **COLD)
        self.assertEqual(host.start(), 0)

    def test_pause_makes_an_occupant_wait_like_a_new_one(self) -> None:
        """Guards against trusting heartbeats that queued up during a pause."""
        host = SlotHostHarness()
        host.advance(6_250, **COLD)
        host.handle_message(ClockJumped(9_000))
        host.advance(5_750, **COLD)
        self.assertEqual(host.start(), 0)
        host.advance(250, **COLD)
        self.assertEqual(host.start(), 2)

    def test_lower_limit_takes_effect_at_once(self) -> None:
        host = SlotHostHarness()
        host.advance(12_000, **WARM)
        self.assertEqual(host.start(3), 3)
        host.advance(250, completed=0, start="start-2")
        self.assertEqual(host.start(), 0)
        for planned in host.planned[:2]:
            host.end(planned)
        self.assertEqual(host.start(), 1)

    def test_running_attempts_still_count_after_a_runner_is_added_again(self) -> None:
        host = SlotHostHarness(runners=2)
        host.advance(250, **WARM)
        self.assertEqual(host.start(), 4)
        host.apply_tables(2, runners=host.pool["runners"][1:])
        host.apply_tables(3)
        host.advance(500, **WARM)
        host.advance(500, completed=2000)
        self.assertEqual(host.start(), 0)


class BorrowerTest(unittest.TestCase):
    """Guards against a borrowed slot that is used twice or for too long."""

    def setUp(self) -> None:
        self.host = SlotHostHarness()
        self.host.advance(12_000, **WARM)
        self.host.start()
        self.request_id = self.host.request_capacity(8)[0].ask

    def test_requests_are_spread_over_the_reachable_peers(self) -> None:
        host = SlotHostHarness()
        host.advance(12_000, **WARM)
        requested_terms = [
            (request.wanted, request.lease_ms) for request in host.request_capacity(8)
        ]
        self.assertEqual(requested_terms, [(2, 6_000)] * 4)
        self.assertEqual(host.request_capacity(8), [])
        self.assertEqual(host.request_capacity(8, tier=1), [])
        self.assertEqual(len(SlotHostHarness().request_capacity(8)), 0)

    def test_which_loans_are_accepted(self) -> None:
        request_id = self.request_id
        rows: list[tuple[str, list[SlotLoan], int, int, int]] = [
            ("answer", [build_loan(request_id)], 0, 3, 0),
            (
                "answer of two parts",
                [build_loan(request_id), build_loan(request_id, 2)],
                0,
                6,
                0,
            ),
            ("repeated", [build_loan(request_id), build_loan(request_id)], 0, 3, 0),
            (
                "for a predecessor",
                [build_loan(SlotRequestId(1, request_id.number))],
                0,
                0,
                0,
            ),
            (
                "for an old request",
                [build_loan(SlotRequestId(request_id.session, 0))],
                0,
                0,
                1,
            ),
            ("after the start window", [build_loan(request_id)], 2_000, 0, 1),
            ("late in the window", [build_loan(request_id)], 1_750, 3, 0),
            (
                "from before a restart",
                [build_loan(request_id, start="start-0")],
                0,
                0,
                1,
            ),
            ("of the cold share", [build_loan(request_id, start=None)], 0, 3, 0),
        ]
        for name, loans, wait_ms, expected, returns in rows:
            with self.subTest(name):
                self.setUp()
                seat = self._requested_seat()
                self.host.advance(wait_ms, **WARM)
                sent = [
                    message
                    for loan in loans
                    for message in self.host.receive(seat, loan)
                ]
                self.assertEqual(self.host.start(), expected)
                sent += self.host.advance(250, **WARM)
                self.assertEqual(len(returned_slots(sent)), returns)

    def test_loan_from_a_seat_without_request_is_not_used(self) -> None:
        self.host.receive(self._requested_seat() % 4 + 1, build_loan(self.request_id))
        self.assertEqual(self.host.start(), 0)

    def test_cold_evidence_voids_a_loan(self) -> None:
        """Guards against using a loan from before its runner turned cold."""
        jump = ColdEvidence.TOKEN_TIME_JUMP
        slower = RunnerNotice(RUNNER, StartIdentity("start-1"), 1000, jump, False)
        rows: list[tuple[dict[str, Any], Message, StartIdentity | None]] = [
            (RESTART, TimerDue(), StartIdentity("start-1")),
            (WARM, PeerReceived(SeatNumber(1), slower), StartIdentity("start-1")),
            (WARM | {"leaving": True}, TimerDue(), None),
        ]
        for load, message, start in rows:
            with self.subTest(load=load):
                self.setUp()
                self.host.receive(
                    self._requested_seat(), build_loan(self.request_id, start=start)
                )
                self.host.handle_message(build_load_reported(**load))
                self.host.handle_message(message)
                self.assertEqual(self.host.start(), 0)
                self.host.advance(500, **load)
                effects = self.host.effects
                sent = [
                    effect.message for effect in effects if isinstance(effect, SendPeer)
                ]
                self.assertEqual(returned_slots(sent), [ReturnedSlots(1, 3)])

    def test_no_attempt_starts_after_the_window(self) -> None:
        """Guards against attempts that no report shows to the owner's successor.

        The startup wait of a successor allows for the start window only.
        """
        for arrives_ms, starts_ms, expected in (
            (0, 1_999, 3),
            (0, 2_000, 0),
            (1_500, 2_000, 0),
        ):
            with self.subTest(arrives_ms=arrives_ms, starts_ms=starts_ms):
                self.setUp()
                self.host.clock.advance(arrives_ms)
                self.host.receive(self._requested_seat(), build_loan(self.request_id))
                self.host.clock.advance(starts_ms - arrives_ms)
                self.assertEqual(self.host.start(), expected)

    def test_attempt_ends_before_its_lease(self) -> None:
        """Guards against counting the lease from the arrival of the loan."""
        self.host = SlotHostHarness(max_run_ms=59_000)
        self.host.advance(70_000, **WARM)
        self.host.start()
        self.request_id = self.host.request_capacity(8)[0].ask
        ends_ms = self.host.now.monotonic_ms + 60_000
        self.host.advance(1_500, **WARM)
        self.host.receive(self._requested_seat(), build_loan(self.request_id))
        self.host.start(1)
        self.assertEqual(self.host.planned[-1].lease_ends_ms, ends_ms)

    def test_idle_slots_are_returned_soon_in_one_message(self) -> None:
        seat = self._requested_seat()
        self.host.receive(seat, build_loan(self.request_id))
        self.host.receive(seat, build_loan(self.request_id, 2))
        self.host.start(1)
        sent = self.host.advance(750, **WARM)
        expected = (ReturnedSlots(1, 2), ReturnedSlots(2, 3))
        self.assertIn(SlotReturn(expected), sent)
        self.host.end(self.host.planned[-1])
        sent = self.host.advance(750, **WARM)
        self.assertEqual(returned_slots(sent), [ReturnedSlots(1, 3)])

    def test_pause_voids_and_cancels_before_anything_is_sent(self) -> None:
        """Guards against attempts whose lease may have expired during a pause."""
        self.host.receive(self._requested_seat(), build_loan(self.request_id))
        self.host.start(2)
        borrowed_ids = [planned.attempt_id for planned in self.host.planned[-2:]]
        effects = self.host.handle_message(ClockJumped(1_500))
        cancels_and_sends = [
            effect for effect in effects if isinstance(effect, CancelAttempt | SendPeer)
        ]
        self.assertEqual(
            [getattr(effect, "attempt_id", None) for effect in cancels_and_sends],
            [*borrowed_ids, None],
        )
        self.assertEqual(
            [failed.attempt_id for failed in self.host.failed], borrowed_ids
        )
        late_response = self.host.receive(
            self._requested_seat(), build_loan(self.request_id, 9)
        )
        self.assertEqual(returned_slots(late_response), [ReturnedSlots(9, 3)])
        self.assertEqual(self.host.start(), 0)

    def test_stop_returns_borrowed_and_offers_owned_slots(self) -> None:
        self.host.receive(self._requested_seat(), build_loan(self.request_id))
        self.host.end(self.host.planned[0])
        effects = self.host.handle_message(StopRequested())
        messages = [
            effect.message for effect in effects if isinstance(effect, SendPeer)
        ]
        self.assertEqual(returned_slots(messages), [ReturnedSlots(1, 3)])
        self.assertIn(SlotOffer(POOL, 1), messages)

    def _requested_seat(self) -> int:
        for effect in self.host.effects:
            if isinstance(effect, SendPeer) and isinstance(effect.message, SlotRequest):
                if effect.message.ask == self.request_id:
                    return effect.seat
        raise AssertionError("no slot request was sent")


class OwnerTest(unittest.TestCase):
    """Guards against an owner that uses or lends a lent slot a second time."""

    def setUp(self) -> None:
        self.host = SlotHostHarness()
        self.host.advance(12_000, **WARM)

    def lend_all(self, lease_ms: int = 6_000) -> None:
        for number in range(4):
            self.host.receive(1, build_slot_request(number, lease_ms=lease_ms))

    def test_lent_slots_are_counted_as_returned_once(self) -> None:
        one_returned = ReturnedSlots(self._first_loan(), 1)
        rows: list[tuple[str, list[tuple[int, ReturnedSlots]], int]] = [
            ("nothing", [], 2),
            ("one", [(1, one_returned)], 3),
            ("the same twice", [(1, one_returned), (1, one_returned)], 3),
            ("by another seat", [(2, one_returned)], 2),
            ("more than lent", [(1, ReturnedSlots(one_returned.loan, 9))], 4),
            (
                "both, out of order",
                [(1, ReturnedSlots(one_returned.loan, 2)), (1, one_returned)],
                4,
            ),
            ("an unknown loan", [(1, ReturnedSlots(5, 1))], 2),
        ]
        for name, returns, expected in rows:
            with self.subTest(name):
                self.setUp()
                self._first_loan()
                for seat, entry in returns:
                    self.host.receive(seat, SlotReturn((entry,)))
                self.assertEqual(self.host.start(), expected)

    def _first_loan(self) -> int:
        (loan,) = self.host.receive(1, build_slot_request(wanted=2))
        self.assertEqual(count_lent([loan]), 2)
        return int(loan.slots[0].loan)

    def test_owner_waits_for_the_lease_and_its_margin(self) -> None:
        self.lend_all()
        self.assertEqual(self.host.start(), 0)
        self.host.advance(6_750, **WARM)
        self.assertEqual(self.host.start(), 0)
        self.host.advance(250, **WARM)
        self.assertEqual(self.host.start(), 4)

    def test_tiers_decide_which_request_gets_a_freed_slot(self) -> None:
        rows: list[tuple[str, int | None, list[tuple[int, int]], list[int]]] = [
            ("nobody waits here", None, [(1, 3)], [1]),
            ("equal tier waits here", 3, [(1, 3)], []),
            ("higher tier waits here", 2, [(1, 3)], []),
            ("lower tier waits here", 4, [(1, 3)], [1]),
            ("request of the higher tier first", None, [(1, 3), (2, 2)], [2]),
        ]
        for name, own_tier, requests, expected in rows:
            with self.subTest(name):
                self.setUp()
                self.host.start()
                if own_tier is not None:
                    self.host.request_capacity(1, own_tier)
                for seat, tier in requests:
                    self.host.receive(seat, build_slot_request(tier=tier))
                before = len(self.host.effects)
                self.host.end(self.host.planned[0])
                seats = [
                    int(effect.seat)
                    for effect in self.host.effects[before:]
                    if isinstance(effect, SendPeer) and count_lent([effect.message])
                ]
                self.assertEqual(seats, expected)

    def test_requests_out_of_bounds_get_nothing(self) -> None:
        for change in ({"wanted": 0}, {"lease_ms": 60_001}):
            request = build_slot_request(**change)
            self.assertEqual(count_lent(self.host.receive(1, request)), 0)

    def test_cold_runner_is_not_lent_without_majority(self) -> None:
        host = SlotHostHarness()
        host.advance(12_000, **COLD)
        self.assertEqual(count_lent(host.receive(1, build_slot_request())), 1)
        host.advance(4_000, peers=1, **COLD)
        self.assertEqual(count_lent(host.receive(1, build_slot_request(2))), 0)

    def test_loan_names_the_runner_start_it_depends_on(self) -> None:
        """Guards against voiding a loan that doesn't depend on the warm-up.

        Two of the four slots belong to the seat even while the runner is cold.
        """
        loans = [
            self.host.receive(1, build_slot_request(number, wanted=wanted))[0].slots[0]
            for number, wanted in enumerate((2, 1))
        ]
        self.assertEqual([loaned.start for loaned in loans], [None, "start-1"])

    def test_stopping_host_lends_everything_for_longer(self) -> None:
        """Guards against a long start window on a cold runner.

        A successor waits only for the usual window before it uses cold runners.
        """
        for load, expected in ((WARM, (4, 56_000)), (RESTART, (2, 2_000))):
            with self.subTest(load=load):
                self.host.advance(500, **load)
                self.host.handle_message(StopRequested())
                (loan,) = self.host.receive(1, build_slot_request(lease_ms=60_000))
                self.assertEqual((count_lent([loan]), loan.start_within_ms), expected)
                self.setUp()

    def test_offered_slots_are_requested_and_kept_while_idle(self) -> None:
        (request,) = self.host.receive(3, SlotOffer(POOL, 2))
        self.assertEqual((request.wanted, request.lease_ms), (2, 60_000))
        self.host.receive(3, build_loan(request.ask, count=2, window_ms=56_000))
        self.assertEqual(returned_slots(self.host.advance(5_000, **WARM)), [])
        self.assertEqual(self.host.start(), 6)
