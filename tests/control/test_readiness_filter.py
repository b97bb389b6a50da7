"""Tests of when a daemon reports that it is ready."""

import unittest

from figshunt.control import ReadinessFilter
from figshunt.types import (
    ManualClock,
    Message,
    Moment,
    SetReady,
    StopRequested,
    TablesSynchronized,
    TimerDue,
)


class DelayedGrants:
    """A ``KeyGrantsView`` of a cell that grants keys from a given time on."""

    def __init__(self, grants_from_ms: int) -> None:
        self.grants_from_ms = grants_from_ms

    def is_granting_keys(self, now: Moment) -> bool:
        return now.monotonic_ms >= self.grants_from_ms


class ReadinessTest(unittest.TestCase):
    """Guards against daemons that get keyed requests before they can run them."""

    def test_time_of_ready_reports(self) -> None:
        synced, stop, timer = TablesSynchronized(), StopRequested(), TimerDue()
        cases: list[tuple[str, int, list[tuple[int, Message]], list[bool]]] = [
            ("no tables", 0, [(0, timer), (9_000, timer)], []),
            (
                "keys granted late",
                2_000,
                [(0, synced), (1_999, timer), (2_000, timer)],
                [True],
            ),
            ("keys not granted yet", 2_000, [(0, synced), (1_999, timer)], []),
            ("keys never granted", 99_000, [(0, synced), (14_999, timer)], []),
            ("timeout", 99_000, [(0, synced), (15_000, timer)], [True]),
            (
                "stop requested",
                0,
                [(0, synced), (1, stop), (2, timer)],
                [True, False],
            ),
        ]
        for name, grants_from_ms, messages, expected in cases:
            with self.subTest(name):
                clock = ManualClock(Moment(0, 0))
                readiness = ReadinessFilter(DelayedGrants(grants_from_ms))
                reports = []
                for at_ms, message in messages:
                    now = clock.advance(at_ms - clock.now().monotonic_ms)
                    outputs = readiness.process(message, now)
                    reports += [
                        output.is_ready
                        for output in outputs
                        if isinstance(output, SetReady)
                    ]
                self.assertEqual(reports, expected)
