"""Limits of cold runners in a simulated cell under load and faults."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.slots.cell_simulation import Cell


def add_load(cell: Cell, source: random.Random, hot_seat: int | None) -> None:
    """Add requests at random, mostly at one host if there is a hot seat."""
    for host in cell.hosts:
        is_hot = hot_seat is None or host.seats.own_seat == hot_seat
        if len(host.arrivals_ms) < 30 and source.random() < (0.8 if is_hot else 0.1):
            host.add_requests(source.randrange(1, 4))
    cell.after(source.randrange(50, 300), add_load, cell, source, hot_seat)


def inject_fault(cell: Cell, source: random.Random) -> None:
    """Inject a random fault and schedule the next one."""
    seat = source.randrange(cell.seats)
    match source.randrange(6):
        case 0:
            source.choice(list(cell.runners.values())).restart()
        case 1:
            cell.replace_host(seat, source.random() < 0.5, source.random() < 0.5)
        case 2:
            cell.hosts[-1 - seat].pause(source.randrange(1_001, 15_000))
        case 3:
            peer = source.randrange(cell.seats)
            cell.cut.add(frozenset((seat, peer)))
        case 4:
            cell.cut = {frozenset((seat, peer)) for peer in range(cell.seats)}
        case 5:
            cell.cut.clear()
    cell.after(source.randrange(300, 6_000), inject_fault, cell, source)


class CellTest(unittest.TestCase):
    """Guards against more attempts on a cold runner than its limit allows."""

    @settings(max_examples=20, deadline=None, derandomize=True, database=None)
    @given(st.integers(0, 2**32), st.booleans())
    def test_no_fault_overloads_a_cold_runner(self, seed: int, is_even: bool) -> None:
        cell = Cell(seed)
        source = random.Random(seed)
        cell.loss_rate, cell.duplicate_rate, cell.max_delay_ms = 0.1, 0.2, 8_000
        cell.report_share = 0.8
        add_load(cell, source, None if is_even else source.randrange(cell.seats))
        cell.after(source.randrange(8_000), inject_fault, cell, source)
        cell.run(45_000)
        self.assertEqual(cell.limit_violations, [])
        cell.cut.clear()
        before = cell.started
        cell.run(15_000)
        self.assertGreater(cell.started, before)

    def test_new_fleet_serves_after_the_startup_wait(self) -> None:
        """Guards against a startup wait that never ends in a new fleet."""
        for hot_seat in range(5):
            with self.subTest(hot_seat=hot_seat):
                cell = Cell(hot_seat)
                cell.hosts[hot_seat].add_requests(30)
                cell.run(6_000)
                self.assertEqual(cell.started, 0)
                cell.run(750)
                self.assertGreaterEqual(cell.started, 6)
