"""Heartbeats, silence and pauses in virtual time."""

import random
import unittest
from collections import defaultdict
from dataclasses import replace

from figshunt.control import MembershipFilter, PauseFilter
from figshunt.pipeline import Pipeline
from figshunt.types import (
    ClockJumped,
    DataCentreName,
    Effect,
    Heartbeat,
    Hello,
    HostName,
    HostsListed,
    HostState,
    IncarnationNumber,
    ListedHost,
    ManualClock,
    Message,
    Moment,
    PeerConnected,
    PeerReceived,
    RevisionNumber,
    SeatNumber,
    SendPeer,
    StopRequested,
    TimerDue,
    WakeAt,
)

SEATS = tuple(SeatNumber(number) for number in range(3))
TURN_MS = 250


class Member:
    """One daemon's first filters, and the messages on their way to it."""

    def __init__(self, seat: SeatNumber, clock: ManualClock, seed: int = 1) -> None:
        self.seat = seat
        self.membership = MembershipFilter(seat, SEATS, random.Random(seed))
        self._clock = clock
        self._pipeline = Pipeline([PauseFilter(), self.membership])

    def feed(self, message: Message) -> list[Effect]:
        return self._pipeline.handle(message, self._clock.now())


class MembershipTest(unittest.TestCase):
    """Three daemons whose messages arrive at once unless held back."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.members = [Member(seat, self.clock, int(seat)) for seat in SEATS]
        self.stopped: set[SeatNumber] = set()
        self.held: defaultdict[SeatNumber, list[Message]] = defaultdict(list)
        self.sent: list[SendPeer] = []
        for member in self.members:
            self.pump(member.seat, TimerDue())

    def pump(self, seat: SeatNumber, message: Message) -> None:
        """Feed a message and deliver everything that it gives rise to."""
        if seat in self.stopped:
            self.held[seat].append(message)
            return
        for effect in self.members[seat].feed(message):
            if isinstance(effect, SendPeer):
                self.sent.append(effect)
                self.pump(effect.seat, PeerReceived(seat, effect.message))

    def run_for(self, duration_ms: int) -> None:
        for _ in range(duration_ms // TURN_MS):
            self.clock.advance(TURN_MS)
            for member in self.members:
                if member.seat not in self.stopped:
                    self.pump(member.seat, TimerDue())

    def hears(self, seat: int, other: int) -> bool:
        membership = self.members[seat].membership
        return membership.is_heard(SEATS[other], self.clock.now())

    def test_heartbeats_keep_seats_heard_and_silence_ends_it(self) -> None:
        self.run_for(1_000)
        self.assertTrue(self.hears(0, 1) and self.hears(0, 2))
        self.stopped.add(SEATS[2])
        self.run_for(2_000)
        self.assertTrue(self.hears(0, 2))
        self.run_for(2_000)
        self.assertFalse(self.hears(0, 2))
        self.assertTrue(self.members[0].membership.hears_majority(self.clock.now()))
        self.stopped.add(SEATS[1])
        self.run_for(4_000)
        self.assertFalse(self.members[0].membership.hears_majority(self.clock.now()))

    def test_heartbeats_are_sent_every_half_second(self) -> None:
        self.run_for(1_000)
        self.sent.clear()
        self.run_for(10_000)
        self.assertEqual(len(self.sent), 20 * len(SEATS) * (len(SEATS) - 1))

    def test_buffered_heartbeats_prove_nothing_after_a_pause(self) -> None:
        """Guards against dead peers that count as heard when a pause ends.

        Seat 1 beats while seat 0 is paused, and dies before it resumes; its
        heartbeats lie in seat 0's socket buffer.
        """
        self.run_for(1_000)
        self.stopped.add(SEATS[0])
        self.run_for(10_000)
        self.stopped = {SEATS[1], SEATS[2]}
        self.assertTrue(self.held[SEATS[0]])
        for message in self.held.pop(SEATS[0]):
            self.pump(SEATS[0], message)
            self.assertFalse(self.hears(0, 1) or self.hears(0, 2))
        self.stopped = {SEATS[2]}
        self.run_for(500)
        self.assertTrue(self.hears(0, 1))

    def test_suspension_that_only_the_wall_clock_shows(self) -> None:
        """Guards against trust in a monotonic clock that stood still."""
        self.run_for(1_000)
        now = self.clock.now()
        self.clock = ManualClock(replace(now, wall_ms=now.wall_ms + 60_000))
        self.members[0]._clock = self.clock
        self.stopped = {SEATS[1], SEATS[2]}
        self.pump(SEATS[0], TimerDue())
        self.assertFalse(self.hears(0, 1))

    def test_echo_of_an_earlier_occupant_is_ignored(self) -> None:
        """Guards against a new occupant that takes old echoes for its own."""
        self.run_for(1_000)
        self.stopped = {SEATS[1], SEATS[2]}
        self.members[0] = Member(SEATS[0], self.clock, seed=77)
        self.pump(SEATS[0], TimerDue())
        old_echo = [one for one in self.sent if one.seat == SEATS[0]][-1]
        self.pump(SEATS[0], PeerReceived(SEATS[1], old_echo.message))
        self.assertFalse(self.hears(0, 1))

    def test_new_occupant_has_to_be_heard_itself(self) -> None:
        hellos = [
            Hello(1, SEATS[1], HostName("h"), IncarnationNumber(number), b"", b"")
            for number in (1, 1, 2)
        ]
        self.run_for(1_000)
        for hello, heard in zip(hellos, (True, True, False), strict=True):
            self.members[0].feed(PeerReceived(SEATS[1], hello))
            self.assertEqual(self.hears(0, 1), heard)

    def test_draining_is_told_at_once(self) -> None:
        self.run_for(500)
        membership = self.members[0].membership
        self.assertFalse(membership.is_draining(SEATS[1]))
        self.pump(SEATS[1], StopRequested())
        self.assertTrue(membership.is_draining(SEATS[1]))
        self.assertTrue(self.members[1].membership.is_draining(SEATS[1]))

    def test_host_that_the_platform_lists_as_leaving_is_draining(self) -> None:
        hello = Hello(1, SEATS[1], HostName("h"), IncarnationNumber(1), b"", b"")
        self.members[0].feed(PeerReceived(SEATS[1], hello))
        for state in (HostState.LIVE, HostState.LEAVING):
            host = ListedHost(HostName("h"), DataCentreName("accra-1"), state)
            self.members[0].feed(HostsListed([host]))
            self.assertEqual(
                self.members[0].membership.is_draining(SEATS[1]),
                state is HostState.LEAVING,
            )

    def test_own_or_unknown_seat_in_a_heartbeat_changes_nothing(self) -> None:
        heartbeat = Heartbeat(RevisionNumber(1), True, True)
        for number in (0, 9):
            seat = SeatNumber(number)
            self.assertEqual(self.members[0].feed(PeerReceived(seat, heartbeat)), [])
            self.assertFalse(self.members[0].membership.is_draining(seat))


class PauseTest(unittest.TestCase):
    """Which gaps count as a pause."""

    def test_gaps(self) -> None:
        """Guards against leases that are kept over a pause."""
        cases = [
            ("regular turn", 250, 250, None),
            ("longest gap", 1_000, 1_000, None),
            ("pause", 1_001, 1_001, 1_001),
            ("suspended machine", 10, 5_000, 5_000),
            ("wall clock set back", 250, -60_000, None),
        ]
        start = Moment(10_000, 1_000_000)
        for name, monotonic_ms, wall_ms, gap_ms in cases:
            with self.subTest(name):
                pause = PauseFilter()
                list(pause.process(TimerDue(), start))
                later = Moment(10_000 + monotonic_ms, 1_000_000 + wall_ms)
                connected = PeerConnected(SeatNumber(1))
                outputs = list(pause.process(connected, later))
                jump = [] if gap_ms is None else [ClockJumped(gap_ms)]
                self.assertEqual(outputs, [*jump, connected])

    def test_turns_are_asked_for(self) -> None:
        pause = PauseFilter()
        self.assertEqual(
            list(pause.process(TimerDue(), Moment(5, 5))), [WakeAt(255), TimerDue()]
        )
