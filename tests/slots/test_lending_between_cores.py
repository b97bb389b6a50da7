"""Whole cores that lend to each other, and a pause of the borrower."""

import random
import unittest

from figshunt.core import Core
from figshunt.types import (
    CancelAttempt,
    CancelReason,
    CapacityWanted,
    Effect,
    HostName,
    ManualClock,
    Message,
    PeerReceived,
    SeatNumber,
    SendPeer,
    StartAttempt,
    Tier,
    TimerDue,
)
from tests.builders import build_arrival, build_load, build_tables_offered
from tests.slots.cell import POOL

OWN_SLOTS = 5  # seat 0's share of 16 slots, by the runner's order of seats
SEATS = tuple(SeatNumber(one) for one in range(3))


class LendingBetweenCoresTest(unittest.TestCase):
    """Guards against filters that work alone but not in the chain."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.started = self.ended = 0
        self.cores = [
            Core(HostName(f"host-{seat}"), seat, SEATS, random.Random(seat))
            for seat in SEATS
        ]
        for seat in SEATS:
            self.feed(seat, build_tables_offered())
            self.feed(seat, build_load())
        for _ in range(3):
            self.tick()

    def feed(self, seat: int, message: Message) -> list[Effect]:
        """Feed one core; carry its peer messages at once to the others."""
        effects = self.cores[seat].handle(message, self.clock.now())
        for effect in tuple(effects):
            self.started += seat == 0 and isinstance(effect, StartAttempt)
            self.ended += seat == 0 and isinstance(effect, CancelAttempt)
            if isinstance(effect, SendPeer):
                received = PeerReceived(SeatNumber(seat), effect.message)
                self.feed(effect.seat, received)
        return effects

    def tick(self) -> None:
        self.clock.advance(500)
        for seat in SEATS:
            self.feed(seat, TimerDue())
            self.feed(seat, build_load())

    def test_borrowed_slots_serve_and_are_dropped_after_a_pause(self) -> None:
        for number in range(12):
            self.feed(0, build_arrival(self.clock.now(), number))
        # Each peer lends half of its free slots, rounded up, to each request.
        self.feed(0, CapacityWanted(POOL, Tier(2), 7))
        running = self.count_running()
        self.assertGreaterEqual(running, OWN_SLOTS + 6)
        self.clock.advance(1_500)
        effects = self.feed(0, TimerDue())
        cancelled = [one for one in effects if isinstance(one, CancelAttempt)]
        self.assertEqual({one.reason for one in cancelled}, {CancelReason.LEASE_ENDED})
        self.assertEqual(len(cancelled), running - OWN_SLOTS)
        self.assertEqual(self.count_running(), OWN_SLOTS)

    def count_running(self) -> int:
        return self.started - self.ended
