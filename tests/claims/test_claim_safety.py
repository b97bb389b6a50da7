"""No key is dispatched twice and no "not run" is false, whatever the network does."""

import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.claim_cell import ClaimCell, Occupant
from benchmarks.claim_rules import without
from benchmarks.claim_trial import WEIGHTS_BY_ACTION, ClaimTrial
from figshunt.types import RequestKey

JOINED_MS = 3_000


def build_cell(skew_ms: int = 0) -> ClaimCell:
    """Return a founded cell of five, old enough to grant fresh keys."""
    cell = ClaimCell(5, random.Random(1))
    for seat in cell.seats:
        cell.start(seat, skew_ms)
    cell.settle(JOINED_MS)
    return cell


def claim(cell: ClaimCell, key: RequestKey, *occupants: Occupant) -> None:
    """Claim at the first occupant while it reaches only the others."""
    cell.connect_only(*occupants)
    cell.submit(occupants[0], key)
    cell.deliver_all()
    cell.run_all()


def replace_without_joining() -> ClaimCell:
    """A new occupant reaches two seats only; the old one reaches the others."""
    cell = build_cell()
    old, one, two, three, four = cell.occupants
    new = cell.start(0)
    cell.connect_only(new, three, four)
    cell.settle(JOINED_MS)
    key = cell.issue_key()
    claim(cell, key, one, two, old)
    claim(cell, key, three, four, new)
    return cell


def restart_whole_cell() -> ClaimCell:
    """All hosts restart empty and are asked for a key that ran before."""
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
    """Like that, from clocks that are ahead to clocks that are behind."""
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


def meet_replaced_voter() -> ClaimCell:
    """Both occupants of a seat, old and new, grant the key to two claimants."""
    cell = build_cell()
    old, one, two, three, four = cell.occupants
    new = cell.start(0)
    cell.connect_only(new, one, two, three, four)
    cell.settle(JOINED_MS)
    key = cell.issue_key()
    claim(cell, key, one, two, old)
    claim(cell, key, three, four, new)
    return cell


def join_by_replaced_voter() -> ClaimCell:
    """A joiner is recorded in seat 1 by the old occupant only.

    The new occupant of seat 1 and seat 4 then vote with the old occupant of
    seat 0, seats 2 and 3 with the joiner.
    """
    cell = build_cell()
    old_zero, old_one, two, three, four = cell.occupants
    new_one = cell.start(1)
    cell.connect_only(new_one, two, three, four)
    cell.settle(JOINED_MS)
    cell.connect_only(old_one, two, three)
    new_zero = cell.start(0)
    new_zero.group = 0
    cell.settle(JOINED_MS)
    key = cell.issue_key()
    claim(cell, key, four, new_one, old_zero)
    claim(cell, key, two, three, new_zero)
    return cell


SCHEDULES_BY_RULE: dict[str, Callable[[], ClaimCell]] = {
    "join": replace_without_joining,
    "abstain": restart_whole_cell,
    "second_skew": restart_with_slow_clocks,
    "discard": meet_replaced_voter,
    "discard_joins": join_by_replaced_voter,
}


class ClaimSafetyTest(unittest.TestCase):
    """Promises 6 and 7 over the whole cell."""

    def test_each_rule_prevents_a_double_claim(self) -> None:
        """Guards against a rule that has no effect or isn't needed."""
        for rule, schedule in SCHEDULES_BY_RULE.items():
            with self.subTest(rule=rule):
                self.assertEqual(schedule().faults, [])
                with without(rule):
                    faults = schedule().faults
                self.assertTrue(faults and "twice" in faults[0], faults)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.integers(0, 2**32),
        st.lists(st.sampled_from(sorted(WEIGHTS_BY_ACTION)), max_size=60),
    )
    def test_any_schedule_is_safe(self, seed: int, actions: list[str]) -> None:
        """Guards against a double claim in a schedule that nobody thought of."""
        self.assertEqual(ClaimTrial(seed).run(actions).faults, ())

    def test_weighted_schedules_are_safe(self) -> None:
        """Guards against the same, with long schedules like those of an outage."""
        for seed in range(60):
            trial = ClaimTrial(seed)
            with self.subTest(seed=seed):
                self.assertEqual(trial.run(trial.choose_actions()).faults, ())
