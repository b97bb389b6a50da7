"""Establishment of voters: founding, joining, replacement and majority loss."""

import random
import unittest

from benchmarks.claim_cell import ClaimCell, Occupant
from figshunt.claims import EstablishmentState

ESTABLISHED = EstablishmentState.ESTABLISHED
JOINING = EstablishmentState.JOINING
SUPERSEDED = EstablishmentState.SUPERSEDED


class EstablishmentTest(unittest.TestCase):
    """Cells of one and five seats."""

    def setUp(self) -> None:
        self.cell = ClaimCell(5, random.Random(1))

    def states(self, *occupants: Occupant) -> list[EstablishmentState]:
        return [
            occupant.establishment.state
            for occupant in occupants or self.cell.occupants
        ]

    def found_cell(self) -> list[Occupant]:
        self.cell.start_all()
        self.cell.settle(1_000)
        return list(self.cell.occupants)

    def test_single_seat_is_established_at_once(self) -> None:
        cell = ClaimCell(1, random.Random(1))
        self.assertEqual(cell.start(0).establishment.state, ESTABLISHED)

    def test_founding_needs_every_seat(self) -> None:
        """Guards against two cells, one of them founded by the missing seats."""
        for seat in range(4):
            self.cell.start(seat)
            self.cell.settle(1_000)
        self.assertEqual(self.states(), [JOINING] * 4)
        self.cell.start(4)
        self.cell.settle(1_000)
        self.assertEqual(self.states(), [ESTABLISHED] * 5)

    def test_lost_founding_votes_are_resent(self) -> None:
        self.cell.start_all()
        for _ in range(200):
            in_flight = self.cell.messages_in_flight
            if in_flight and self.cell.random.random() < 0.5:
                in_flight.pop(0)
            elif in_flight:
                self.cell.deliver(in_flight.pop(0))
        self.cell.settle(2_000)
        self.assertEqual(self.states(), [ESTABLISHED] * 5)

    def test_joiner_needs_three_other_established_seats(self) -> None:
        _, *others = self.found_cell()
        joiner = self.cell.start(0)
        self.cell.connect_only(joiner, *others[:2])
        self.cell.settle(2_000)
        self.assertEqual(self.states(joiner), [JOINING])
        self.cell.connect_only(joiner, *others[:3])
        self.cell.settle(2_000)
        self.assertEqual(self.states(joiner), [ESTABLISHED])

    def test_superseded_occupant_stops_voting_once_notified(self) -> None:
        """Guards against occupants of one seat that supersede each other forever."""
        old, *others = self.found_cell()
        new = self.cell.start(0)
        self.cell.connect_only(new, *others)
        self.cell.settle(2_000)
        self.assertEqual(self.states(old, new), [ESTABLISHED, ESTABLISHED])
        self.cell.connect_only(old, *others)
        self.cell.submit(old, self.cell.issue_key())
        self.cell.settle(2_000)
        self.assertEqual(self.states(old, new), [SUPERSEDED, ESTABLISHED])

    def test_joiner_with_slow_clock_supersedes_its_predecessor(self) -> None:
        """Guards against a new occupant whose votes are discarded as superseded.

        Incarnations are ordered by start time, which a slow clock sets back.
        """
        old, *others = self.found_cell()
        self.cell.kill(old)
        new = self.cell.start(0, skew_ms=-100_000)
        self.cell.settle(3_000)
        self.assertEqual(self.states(new), [ESTABLISHED])
        old_incarnation, new_incarnation = (
            old.establishment.incarnation,
            new.establishment.incarnation,
        )
        assert old_incarnation is not None and new_incarnation is not None
        self.assertGreater(new_incarnation, old_incarnation)
        recorded_incarnation = others[0].establishment.known.get(new.seat)
        self.assertEqual(recorded_incarnation, new_incarnation)

    def test_loss_of_a_majority_needs_a_new_generation(self) -> None:
        """Guards against founding a second cell while hosts of the first still run."""
        lost_occupants = self.found_cell()[:3]
        for occupant in lost_occupants:
            self.cell.kill(occupant)
            self.cell.start(occupant.seat)
        self.cell.settle(5_000)
        self.assertEqual(self.states()[2:], [JOINING] * 3)
        self.cell.generation = 2
        for occupant in self.cell.occupants:
            self.cell.enter_generation(occupant)
        self.cell.settle(2_000)
        self.assertEqual(self.states(), [ESTABLISHED] * 5)

    def test_joiner_learns_grants(self) -> None:
        """Guards against a joiner that lacks the grants made before it joined.

        It would report such a key as not run, or know of no holder.
        """
        _, *others = self.found_cell()
        self.cell.settle(3_000)
        key = self.cell.issue_key()
        for number in range(1_200):
            next_key = self.cell.issue_key() if number else key
            self.cell.submit(others[0], next_key)
            self.cell.deliver_all()
        self.cell.dispatch_all()
        self.cell.kill(self.cell.occupants[0])
        joiner = self.cell.start(0)
        self.cell.settle(1_000)
        self.cell.submit(joiner, key)
        self.cell.deliver_all()
        self.assertEqual(self.cell.count_dispatches(key), 1)
        self.assertEqual(self.cell.faults, [])
