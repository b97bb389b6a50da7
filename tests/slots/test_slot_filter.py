"""Rules of owned, lent and borrowed slots, one by one."""

import unittest
from typing import Any

from figshunt.types import (
    AskId,
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
    SlotReturn,
    StartIdentity,
    StopRequested,
    TimerDue,
)
from tests.builders import build_load
from tests.slots.cell import POOL
from tests.slots.one_host import RUNNER, OneHost, build_loan, build_slot_request

COLD = {"completed": 0}
WARM = {"completed": 1000}
RESTART = {"completed": 0, "start": "start-2"}


def lent(sent: list[Any]) -> int:
    """Return how many slots the messages lend."""
    loans = [one for one in sent if isinstance(one, SlotLoan)]
    return sum(slots.count for loan in loans for slots in loan.slots)


def returned(sent: list[Any]) -> list[ReturnedSlots]:
    returns = [one for one in sent if isinstance(one, SlotReturn)]
    return [one for message in returns for one in message.loans]


class SeatShareTest(unittest.TestCase):
    """Guards against a seat using what its predecessor may still use."""

    def test_slots_that_an_occupant_uses(self) -> None:
        # Of 10 cold slots the seat owns 2, of 20 warm ones 4.
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
                host = OneHost(seats)
                host.advance(wait_ms, peers, **load)
                self.assertEqual(host.start(), expected)

    def test_majority_lost_stops_new_work_on_a_cold_runner(self) -> None:
        host = OneHost()
        host.advance(6_250, **COLD)
        host.advance(3_000, peers=1, **COLD)
        self.assertEqual(host.start(1), 1)
        host.advance(250, peers=1, **COLD)
        self.assertEqual(host.start(), 0)

    def test_pause_makes_an_occupant_wait_like_a_new_one(self) -> None:
        """Guards against heartbeats that piled up during a pause."""
        host = OneHost()
        host.advance(6_250, **COLD)
        host.feed(ClockJumped(9_000))
        host.advance(5_750, **COLD)
        self.assertEqual(host.start(), 0)
        host.advance(250, **COLD)
        self.assertEqual(host.start(), 2)

    def test_smaller_limit_acts_at_once(self) -> None:
        host = OneHost()
        host.advance(12_000, **WARM)
        self.assertEqual(host.start(3), 3)
        host.advance(250, completed=0, start="start-2")
        self.assertEqual(host.start(), 0)
        for planned in host.planned[:2]:
            host.end(planned)
        self.assertEqual(host.start(), 1)

    def test_removed_runner_is_still_charged_when_it_returns(self) -> None:
        host = OneHost(runners=2)
        host.advance(250, **WARM)
        self.assertEqual(host.start(), 4)
        host.use_tables(2, runners=host.pool["runners"][1:])
        host.use_tables(3)
        host.advance(500, **WARM)
        host.advance(500, completed=2000)
        self.assertEqual(host.start(), 0)


class BorrowerTest(unittest.TestCase):
    """Guards against a borrowed slot that is used twice, or too long."""

    def setUp(self) -> None:
        self.host = OneHost()
        self.host.advance(12_000, **WARM)
        self.host.start()
        self.ask = self.host.want(8)[0].ask

    def test_requests_are_spread_over_the_peers_that_are_heard(self) -> None:
        host = OneHost()
        host.advance(12_000, **WARM)
        wanted = [(one.wanted, one.lease_ms) for one in host.want(8)]
        self.assertEqual(wanted, [(2, 6_000)] * 4)
        self.assertEqual(host.want(8), [])
        self.assertEqual(len(OneHost().want(8)), 0)

    def test_which_loans_count(self) -> None:
        ask = self.ask
        rows: list[tuple[str, list[SlotLoan], int, int, int]] = [
            ("answer", [build_loan(ask)], 0, 3, 0),
            ("answer of two parts", [build_loan(ask), build_loan(ask, 2)], 0, 6, 0),
            ("repeated", [build_loan(ask), build_loan(ask)], 0, 3, 0),
            ("for a predecessor", [build_loan(AskId(1, ask.number))], 0, 0, 0),
            ("for an old request", [build_loan(AskId(ask.session, 0))], 0, 0, 1),
            ("after the start window", [build_loan(ask)], 2_000, 0, 1),
            ("late in the window", [build_loan(ask)], 1_750, 3, 0),
            ("from before a restart", [build_loan(ask, start="start-0")], 0, 0, 1),
            ("of the cold share", [build_loan(ask, start=None)], 0, 3, 0),
        ]
        for name, loans, wait_ms, expected, returns in rows:
            with self.subTest(name):
                self.setUp()
                owner = self._owner()
                self.host.advance(wait_ms, **WARM)
                sent = [one for loan in loans for one in self.host.hear(owner, loan)]
                self.assertEqual(self.host.start(), expected)
                sent += self.host.advance(250, **WARM)
                self.assertEqual(len(returned(sent)), returns)

    def test_loan_of_a_seat_that_was_not_asked(self) -> None:
        self.host.hear(self._owner() % 4 + 1, build_loan(self.ask))
        self.assertEqual(self.host.start(), 0)

    def test_cold_evidence_voids_a_loan(self) -> None:
        """Guards against warm loans used on a runner that turned cold."""
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
                self.host.hear(self._owner(), build_loan(self.ask, start=start))
                self.host.feed(build_load(**load))
                self.host.feed(message)
                self.assertEqual(self.host.start(), 0)
                self.host.advance(500, **load)
                effects = self.host.effects
                sent = [one.message for one in effects if isinstance(one, SendPeer)]
                self.assertEqual(returned(sent), [ReturnedSlots(1, 3)])

    def test_no_attempt_starts_after_the_window(self) -> None:
        """Guards against work that a successor of the owner can't see."""
        for arrives_ms, starts_ms, expected in (
            (0, 1_999, 3),
            (0, 2_000, 0),
            (1_500, 2_000, 0),
        ):
            with self.subTest(arrives_ms=arrives_ms, starts_ms=starts_ms):
                self.setUp()
                self.host.clock.advance(arrives_ms)
                self.host.hear(self._owner(), build_loan(self.ask))
                self.host.clock.advance(starts_ms - arrives_ms)
                self.assertEqual(self.host.start(), expected)

    def test_attempt_ends_before_its_lease(self) -> None:
        """Guards against a lease counted from when the loan arrived."""
        self.host = OneHost(max_run_ms=59_000)
        self.host.advance(70_000, **WARM)
        self.host.start()
        self.ask = self.host.want(8)[0].ask
        ends_ms = self.host.now.monotonic_ms + 60_000
        self.host.advance(1_500, **WARM)
        self.host.hear(self._owner(), build_loan(self.ask))
        self.host.start(1)
        self.assertEqual(self.host.planned[-1].lease_ends_ms, ends_ms)

    def test_idle_slots_go_back_soon_in_one_message(self) -> None:
        owner = self._owner()
        self.host.hear(owner, build_loan(self.ask))
        self.host.hear(owner, build_loan(self.ask, 2))
        self.host.start(1)
        sent = self.host.advance(750, **WARM)
        expected = (ReturnedSlots(1, 2), ReturnedSlots(2, 3))
        self.assertIn(SlotReturn(expected), sent)
        self.host.end(self.host.planned[-1])
        sent = self.host.advance(750, **WARM)
        self.assertEqual(returned(sent), [ReturnedSlots(1, 3)])

    def test_pause_drops_and_cancels_before_anything_is_sent(self) -> None:
        self.host.hear(self._owner(), build_loan(self.ask))
        self.host.start(2)
        borrowed = [one.attempt_id for one in self.host.planned[-2:]]
        effects = self.host.feed(ClockJumped(1_500))
        first = [one for one in effects if isinstance(one, CancelAttempt | SendPeer)]
        self.assertEqual(
            [getattr(one, "attempt_id", None) for one in first], [*borrowed, None]
        )
        self.assertEqual([one.attempt_id for one in self.host.failed], borrowed)
        late = self.host.hear(self._owner(), build_loan(self.ask, 9))
        self.assertEqual(returned(late), [ReturnedSlots(9, 3)])
        self.assertEqual(self.host.start(), 0)

    def test_stop_hands_back_and_offers(self) -> None:
        self.host.hear(self._owner(), build_loan(self.ask))
        self.host.end(self.host.planned[0])
        sent = self.host.feed(StopRequested())
        messages = [one.message for one in sent if isinstance(one, SendPeer)]
        self.assertEqual(returned(messages), [ReturnedSlots(1, 3)])
        self.assertIn(SlotOffer(POOL, 1), messages)

    def _owner(self) -> int:
        for effect in self.host.effects:
            if isinstance(effect, SendPeer) and isinstance(effect.message, SlotRequest):
                if effect.message.ask == self.ask:
                    return effect.seat
        raise AssertionError("nobody was asked")


class OwnerTest(unittest.TestCase):
    """Guards against a slot that its owner uses or lends a second time."""

    def setUp(self) -> None:
        self.host = OneHost()
        self.host.advance(12_000, **WARM)

    def lend_all(self, lease_ms: int = 6_000) -> None:
        for number in range(4):
            self.host.hear(1, build_slot_request(number, lease_ms=lease_ms))

    def test_lent_slots_come_back_once(self) -> None:
        one = ReturnedSlots(self._first_loan(), 1)
        rows: list[tuple[str, list[tuple[int, ReturnedSlots]], int]] = [
            ("nothing", [], 2),
            ("one", [(1, one)], 3),
            ("the same twice", [(1, one), (1, one)], 3),
            ("by another seat", [(2, one)], 2),
            ("more than lent", [(1, ReturnedSlots(one.loan, 9))], 4),
            ("both, out of order", [(1, ReturnedSlots(one.loan, 2)), (1, one)], 4),
            ("an unknown loan", [(1, ReturnedSlots(5, 1))], 2),
        ]
        for name, returns, expected in rows:
            with self.subTest(name):
                self.setUp()
                self._first_loan()
                for seat, returns_one in returns:
                    self.host.hear(seat, SlotReturn((returns_one,)))
                self.assertEqual(self.host.start(), expected)

    def _first_loan(self) -> int:
        (loan,) = self.host.hear(1, build_slot_request(wanted=2))
        self.assertEqual(lent([loan]), 2)
        return int(loan.slots[0].loan)

    def test_owner_waits_for_the_lease_and_the_skew_bound(self) -> None:
        self.lend_all()
        self.assertEqual(self.host.start(), 0)
        self.host.advance(6_750, **WARM)
        self.assertEqual(self.host.start(), 0)
        self.host.advance(250, **WARM)
        self.assertEqual(self.host.start(), 4)

    def test_tiers_decide_who_gets_a_slot_that_becomes_free(self) -> None:
        rows: list[tuple[str, int | None, list[tuple[int, int]], list[int]]] = [
            ("nobody waits here", None, [(1, 3)], [1]),
            ("equal tier waits here", 3, [(1, 3)], []),
            ("higher tier waits here", 2, [(1, 3)], []),
            ("lower tier waits here", 4, [(1, 3)], [1]),
            ("higher wish first", None, [(1, 3), (2, 2)], [2]),
        ]
        for name, own_tier, wishes, expected in rows:
            with self.subTest(name):
                self.setUp()
                self.host.start()
                if own_tier is not None:
                    self.host.want(1, own_tier)
                for seat, tier in wishes:
                    self.host.hear(seat, build_slot_request(tier=tier))
                before = len(self.host.effects)
                self.host.end(self.host.planned[0])
                seats = [
                    int(one.seat)
                    for one in self.host.effects[before:]
                    if isinstance(one, SendPeer) and lent([one.message])
                ]
                self.assertEqual(seats, expected)

    def test_nothing_is_lent_without_need(self) -> None:
        for request in (
            build_slot_request(wanted=0),
            build_slot_request(lease_ms=60_001),
        ):
            self.assertEqual(lent(self.host.hear(1, request)), 0)

    def test_cold_runner_is_not_lent_without_majority(self) -> None:
        cold = OneHost()
        cold.advance(12_000, **COLD)
        self.assertEqual(lent(cold.hear(1, build_slot_request())), 1)
        cold.advance(4_000, peers=1, **COLD)
        self.assertEqual(lent(cold.hear(1, build_slot_request(2))), 0)

    def test_loan_tells_on_which_warm_up_it_rests(self) -> None:
        """Two of the four slots belong to the seat even when cold."""
        starts = [
            self.host.hear(1, build_slot_request(number, wanted=wanted))[0].slots[0]
            for number, wanted in enumerate((2, 1))
        ]
        self.assertEqual([one.start for one in starts], [None, "start-1"])

    def test_stopping_host_lends_all_for_longer(self) -> None:
        """Only of warm runners: a successor waits for the short window."""
        for load, expected in ((WARM, (4, 56_000)), (RESTART, (2, 2_000))):
            with self.subTest(load=load):
                self.host.advance(500, **load)
                self.host.feed(StopRequested())
                (loan,) = self.host.hear(1, build_slot_request(lease_ms=60_000))
                self.assertEqual((lent([loan]), loan.start_within_ms), expected)
                self.setUp()

    def test_offer_is_taken_and_kept_while_idle(self) -> None:
        (request,) = self.host.hear(3, SlotOffer(POOL, 2))
        self.assertEqual((request.wanted, request.lease_ms), (2, 60_000))
        self.host.hear(3, build_loan(request.ask, count=2, window_ms=56_000))
        self.assertEqual(returned(self.host.advance(5_000, **WARM)), [])
        self.assertEqual(self.host.start(), 6)

    def test_due_timer_without_work_sends_nothing(self) -> None:
        self.assertFalse(
            [one for one in self.host.feed(TimerDue()) if isinstance(one, SendPeer)]
        )
        unknown = PeerReceived(SeatNumber(1), SlotReturn(()))
        self.assertEqual(self.host.feed(unknown), [])


if __name__ == "__main__":
    unittest.main()
