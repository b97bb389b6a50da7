"""Safety of claims under network faults, restarts and clock skew."""

import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.claim_cell import ClaimCell, Occupant
from benchmarks.claim_rules import disable_rules
from benchmarks.claim_trial import WEIGHTS_BY_ACTION, ClaimTrial
from figshunt.types import IdempotencyKey

JOINED_MS = 3_000


def build_cell(skew_ms: int = 0) -> ClaimCell:
    """Return a founded cell of five seats that has begun to grant new keys."""
    cell = ClaimCell(5, random.Random(1))
    for seat in cell.seats:
        cell.start(seat, skew_ms)
    cell.settle(JOINED_MS)
    return cell


def claim(cell: ClaimCell, key: IdempotencyKey, *occupants: Occupant) -> None:
    """Claim a key at the first occupant while it can reach only the others."""
    cell.connect_only(*occupants)
    cell.submit(occupants[0], key)
    cell.deliver_all()
    cell.dispatch_all()


def replace_occupant_without_join() -> ClaimCell:
    """Replace an occupant while it stays connected to two of the other seats.

    The new occupant reaches only the remaining two, too few to join.
    """
    cell = build_cell()
    old_0, occupant_1, occupant_2, occupant_3, occupant_4 = cell.occupants
    new_0 = cell.start(0)
    cell.connect_only(new_0, occupant_3, occupant_4)
    cell.settle(JOINED_MS)
    key = cell.issue_key()
    claim(cell, key, occupant_1, occupant_2, old_0)
    claim(cell, key, occupant_3, occupant_4, new_0)
    return cell


def restart_whole_cell() -> ClaimCell:
    """Restart all hosts without state, then claim a key that ran before."""
    cell = build_cell()
    key = cell.issue_key()
    claim(cell, key, *cell.occupants)
    for occupant in tuple(cell.occupants):
        cell.kill(occupant)
    cell.start_all()
    cell.settle(JOINED_MS)
    claim(cell, key, *cell.occupants)
    return cell


def restart_with_slow_clocks() -> ClaimCell:
    """Restart the whole cell with clocks behind those under which a key ran."""
    cell = build_cell(skew_ms=500)
    key = cell.issue_key(skew_ms=1_400)
    claim(cell, key, *cell.occupants)
    for occupant in tuple(cell.occupants):
        cell.kill(occupant)
    for seat in cell.seats:
        cell.start(seat, skew_ms=-500)
    cell.settle(1_000)
    claim(cell, key, *cell.occupants)
    return cell


def vote_with_replaced_occupant() -> ClaimCell:
    """Let the old and new occupant of a seat grant a key to two claimants."""
    cell = build_cell()
    old_0, occupant_1, occupant_2, occupant_3, occupant_4 = cell.occupants
    new_0 = cell.start(0)
    cell.connect_only(new_0, occupant_1, occupant_2, occupant_3, occupant_4)
    cell.settle(JOINED_MS)
    key = cell.issue_key()
    claim(cell, key, occupant_1, occupant_2, old_0)
    claim(cell, key, occupant_3, occupant_4, new_0)
    return cell


def join_through_replaced_occupant() -> ClaimCell:
    """Let a joiner of seat 0 be recorded in seat 1 by the old occupant only.

    Seat 4 and the new occupant of seat 1 then vote on one claim together with
    the old occupant of seat 0; seats 2 and 3 vote on another with the joiner.
    """
    cell = build_cell()
    old_0, old_1, occupant_2, occupant_3, occupant_4 = cell.occupants
    new_1 = cell.start(1)
    cell.connect_only(new_1, occupant_2, occupant_3, occupant_4)
    cell.settle(JOINED_MS)
    cell.connect_only(old_1, occupant_2, occupant_3)
    new_0 = cell.start(0)
    new_0.partition_group = 0
    cell.settle(JOINED_MS)
    key = cell.issue_key()
    claim(cell, key, occupant_4, new_1, old_0)
    claim(cell, key, occupant_2, occupant_3, new_0)
    return cell


SCHEDULES_BY_RULE: dict[str, Callable[[], ClaimCell]] = {
    "join": replace_occupant_without_join,
    "abstain": restart_whole_cell,
    "second_skew": restart_with_slow_clocks,
    "discard": vote_with_replaced_occupant,
    "discard_joins": join_through_replaced_occupant,
}


class ClaimSafetyTest(unittest.TestCase):
    """Checks promises 6 and 7 on a whole cell.

    A key runs at most once, and a key that is reported as not run never ran.
    """

    def test_each_rule_prevents_a_double_claim(self) -> None:
        """Guards against a rule that is redundant or has no effect.

        Without the rule, its schedule must lead to a key that runs twice.
        """
        for rule, schedule in SCHEDULES_BY_RULE.items():
            with self.subTest(rule=rule):
                self.assertEqual(schedule().faults, [])
                with disable_rules(rule):
                    faults = schedule().faults
                self.assertTrue(faults and "twice" in faults[0], faults)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.integers(0, 2**32),
        st.lists(st.sampled_from(sorted(WEIGHTS_BY_ACTION)), max_size=60),
    )
    def test_any_schedule_is_safe(self, seed: int, actions: list[str]) -> None:
        """Guards against double claims in random schedules of actions and faults."""
        self.assertEqual(ClaimTrial(seed).run(actions).faults, ())

    def test_weighted_schedules_are_safe(self) -> None:
        """Guards against double claims in long, outage-like schedules."""
        for seed in range(60):
            trial = ClaimTrial(seed)
            with self.subTest(seed=seed):
                self.assertEqual(trial.run(trial.choose_actions()).faults, ())
