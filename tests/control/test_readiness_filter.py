"""A daemon takes callers only once it can serve them."""

import unittest

from figshunt.control import ReadinessFilter
from figshunt.types import (
    ManualClock,
    Message,
    Moment,
    SetReady,
    StopRequested,
    TablesSettled,
    TimerDue,
)


class LateCell:
    """A cell that grants keys from a given time on."""

    def __init__(self, grants_from_ms: int) -> None:
        self.grants_from_ms = grants_from_ms

    def grants_keys(self, now: Moment) -> bool:
        return now.monotonic_ms >= self.grants_from_ms


class ReadinessTest(unittest.TestCase):
    """Guards against refusing the keyed requests of the first seconds."""

    def test_when_it_reports(self) -> None:
        settled, stop, due = TablesSettled(), StopRequested(), TimerDue()
        cases: list[tuple[str, int, list[tuple[int, Message]], list[bool]]] = [
            ("no tables", 0, [(0, due), (9_000, due)], []),
            ("grants late", 2_000, [(0, settled), (1_999, due), (2_000, due)], [True]),
            ("too early", 2_000, [(0, settled), (1_999, due)], []),
            ("never grants", 99_000, [(0, settled), (14_999, due)], []),
            ("limit", 99_000, [(0, settled), (15_000, due)], [True]),
            ("stops", 0, [(0, settled), (1, stop), (2, due)], [True, False]),
        ]
        for name, grants_from_ms, messages, expected in cases:
            with self.subTest(name):
                clock = ManualClock(Moment(0, 0))
                readiness = ReadinessFilter(LateCell(grants_from_ms))
                reported = []
                for at_ms, message in messages:
                    now = clock.advance(at_ms - clock.now().monotonic_ms)
                    outputs = readiness.process(message, now)
                    reported += [
                        one.is_ready for one in outputs if isinstance(one, SetReady)
                    ]
                self.assertEqual(reported, expected)
