"""Lending between complete daemon cores, and a pause of the borrower."""

import random
import unittest

from figshunt.core import Core
from figshunt.types import (
    CancelAttempt,
    CancelReason,
    CapacityRequested,
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
from tests.builders import (
    build_load_reported,
    build_request_arrived,
    build_tables_received,
)
from tests.slots.cell_simulation import POOL

OWN_SLOTS = 5  # seat 0's share of 16 slots, by the runner's order of seats
SEATS = tuple(SeatNumber(seat) for seat in range(3))


class LendingBetweenCoresTest(unittest.TestCase):
    """Guards against slot filters that work alone but fail in the complete chain."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.started = self.cancelled_attempts = 0
        self.cores = [
            Core(HostName(f"host-{seat}"), seat, SEATS, random.Random(seat))
            for seat in SEATS
        ]
        for seat in SEATS:
            self.handle_message(seat, build_tables_received())
            self.handle_message(seat, build_load_reported())
        for _ in range(3):
            self.advance()

    def handle_message(self, seat: int, message: Message) -> list[Effect]:
        """Pass a message to one core; deliver its peer messages at once."""
        effects = self.cores[seat].handle(message, self.clock.now())
        for effect in tuple(effects):
            self.started += seat == 0 and isinstance(effect, StartAttempt)
            self.cancelled_attempts += seat == 0 and isinstance(effect, CancelAttempt)
            if isinstance(effect, SendPeer):
                received = PeerReceived(SeatNumber(seat), effect.message)
                self.handle_message(effect.seat, received)
        return effects

    def advance(self) -> None:
        self.clock.advance(500)
        for seat in SEATS:
            self.handle_message(seat, TimerDue())
            self.handle_message(seat, build_load_reported())

    def test_borrowed_slots_are_used_and_voided_after_a_pause(self) -> None:
        for number in range(12):
            self.handle_message(0, build_request_arrived(self.clock.now(), number))
        # Each peer lends half of its free slots, rounded up, to each request.
        self.handle_message(0, CapacityRequested(POOL, Tier(2), 7))
        running_before = self.count_running()
        self.assertGreaterEqual(running_before, OWN_SLOTS + 6)
        self.clock.advance(1_500)
        effects = self.handle_message(0, TimerDue())
        cancellations = [
            effect for effect in effects if isinstance(effect, CancelAttempt)
        ]
        self.assertEqual(
            {effect.reason for effect in cancellations}, {CancelReason.LEASE_ENDED}
        )
        self.assertEqual(len(cancellations), running_before - OWN_SLOTS)
        self.assertEqual(self.count_running(), OWN_SLOTS)

    def count_running(self) -> int:
        return self.started - self.cancelled_attempts
