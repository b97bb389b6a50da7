"""Tests of heartbeats, contact timeouts and pauses in virtual time."""

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
    HostListEntry,
    HostListReceived,
    HostName,
    HostState,
    IncarnationNumber,
    LogEvent,
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
WAKE_INTERVAL_MS = 250


class MemberDaemon:
    """The pause and membership filters of one daemon."""

    def __init__(self, seat: SeatNumber, clock: ManualClock, seed: int = 1) -> None:
        self.seat = seat
        self.membership = MembershipFilter(seat, SEATS, random.Random(seed))
        self._clock = clock
        self._pipeline = Pipeline([PauseFilter(), self.membership])

    def handle_message(self, message: Message) -> list[Effect]:
        return self._pipeline.handle(message, self._clock.now())


class MembershipTest(unittest.TestCase):
    """Three daemons with immediate delivery; paused daemons buffer messages."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.members = [MemberDaemon(seat, self.clock, int(seat)) for seat in SEATS]
        self.paused: set[SeatNumber] = set()
        self.buffered: defaultdict[SeatNumber, list[Message]] = defaultdict(list)
        self.sent: list[SendPeer] = []
        for member in self.members:
            self.deliver(member.seat, TimerDue())

    def deliver(self, seat: SeatNumber, message: Message) -> None:
        """Pass a message to a daemon and deliver the messages that it sends."""
        if seat in self.paused:
            self.buffered[seat].append(message)
            return
        for effect in self.members[seat].handle_message(message):
            if isinstance(effect, SendPeer):
                self.sent.append(effect)
                self.deliver(effect.seat, PeerReceived(seat, effect.message))

    def advance(self, duration_ms: int) -> None:
        for _ in range(duration_ms // WAKE_INTERVAL_MS):
            self.clock.advance(WAKE_INTERVAL_MS)
            for member in self.members:
                if member.seat not in self.paused:
                    self.deliver(member.seat, TimerDue())

    def is_reachable(self, seat: int, other: int) -> bool:
        membership = self.members[seat].membership
        return membership.is_reachable(SEATS[other], self.clock.now())

    def test_seat_is_reachable_until_heartbeats_time_out(self) -> None:
        self.advance(1_000)
        self.assertTrue(self.is_reachable(0, 1) and self.is_reachable(0, 2))
        self.paused.add(SEATS[2])
        self.advance(2_000)
        self.assertTrue(self.is_reachable(0, 2))
        self.advance(2_000)
        self.assertFalse(self.is_reachable(0, 2))
        self.assertTrue(self.members[0].membership.has_quorum(self.clock.now()))
        self.paused.add(SEATS[1])
        self.advance(4_000)
        self.assertFalse(self.members[0].membership.has_quorum(self.clock.now()))

    def test_heartbeats_are_sent_every_half_second(self) -> None:
        self.advance(1_000)
        self.sent.clear()
        self.advance(10_000)
        self.assertEqual(len(self.sent), 20 * len(SEATS) * (len(SEATS) - 1))

    def test_buffered_heartbeats_do_not_count_after_a_pause(self) -> None:
        """Guards against dead peers that count as reachable after a pause.

        The peers send heartbeats while seat 0 is paused and stop before it
        resumes. It then reads the heartbeats from its socket buffer.
        """
        self.advance(1_000)
        self.paused.add(SEATS[0])
        self.advance(10_000)
        self.paused = {SEATS[1], SEATS[2]}
        self.assertTrue(self.buffered[SEATS[0]])
        for message in self.buffered.pop(SEATS[0]):
            self.deliver(SEATS[0], message)
            self.assertFalse(self.is_reachable(0, 1) or self.is_reachable(0, 2))
        self.paused = {SEATS[2]}
        self.advance(500)
        self.assertTrue(self.is_reachable(0, 1))

    def test_suspension_is_detected_from_the_wall_clock(self) -> None:
        """Guards against dead peers that count as reachable after a suspension.

        The monotonic clock of a suspended machine stands still, so it doesn't show
        that the peers' last contact is too old.
        """
        self.advance(1_000)
        now = self.clock.now()
        self.clock = ManualClock(replace(now, wall_ms=now.wall_ms + 60_000))
        self.members[0]._clock = self.clock
        self.paused = {SEATS[1], SEATS[2]}
        self.deliver(SEATS[0], TimerDue())
        self.assertFalse(self.is_reachable(0, 1))

    def test_echo_for_an_earlier_occupant_is_ignored(self) -> None:
        """Guards against counting an echo to a predecessor as contact with a peer."""
        self.advance(1_000)
        self.paused = {SEATS[1], SEATS[2]}
        self.members[0] = MemberDaemon(SEATS[0], self.clock, seed=77)
        self.deliver(SEATS[0], TimerDue())
        old_echo = [effect for effect in self.sent if effect.seat == SEATS[0]][-1]
        self.deliver(SEATS[0], PeerReceived(SEATS[1], old_echo.message))
        self.assertFalse(self.is_reachable(0, 1))

    def test_contact_of_an_earlier_occupant_does_not_count(self) -> None:
        """Guards against a peer that is reachable only because of its predecessor."""
        hellos = [
            Hello(1, SEATS[1], HostName("h"), IncarnationNumber(number), b"", b"")
            for number in (1, 1, 2)
        ]
        self.advance(1_000)
        for hello, reachable in zip(hellos, (True, True, False), strict=True):
            self.members[0].handle_message(PeerReceived(SEATS[1], hello))
            self.assertEqual(self.is_reachable(0, 1), reachable)

    def test_draining_is_announced_immediately(self) -> None:
        self.advance(500)
        membership = self.members[0].membership
        self.assertFalse(membership.is_draining(SEATS[1]))
        self.deliver(SEATS[1], StopRequested())
        self.assertTrue(membership.is_draining(SEATS[1]))
        self.assertTrue(self.members[1].membership.is_draining(SEATS[1]))

    def test_host_that_the_platform_lists_as_leaving_is_draining(self) -> None:
        hello = Hello(1, SEATS[1], HostName("h"), IncarnationNumber(1), b"", b"")
        self.members[0].handle_message(PeerReceived(SEATS[1], hello))
        for state in (HostState.LIVE, HostState.LEAVING):
            host = HostListEntry(HostName("h"), DataCentreName("accra-1"), state)
            self.members[0].handle_message(HostListReceived([host]))
            self.assertEqual(
                self.members[0].membership.is_draining(SEATS[1]),
                state is HostState.LEAVING,
            )

    def test_heartbeat_of_own_or_unknown_seat_is_ignored(self) -> None:
        heartbeat = Heartbeat(RevisionNumber(1), True, True)
        for number in (0, 9):
            seat = SeatNumber(number)
            self.assertEqual(
                self.members[0].handle_message(PeerReceived(seat, heartbeat)), []
            )
            self.assertFalse(self.members[0].membership.is_draining(seat))


class PauseTest(unittest.TestCase):
    """Detection of pauses from gaps between messages."""

    def test_gaps_between_messages(self) -> None:
        """An undetected pause would leave expired leases in use."""
        cases = [
            ("regular wake-up", 250, 250, None),
            ("longest allowed gap", 1_000, 1_000, None),
            ("pause", 1_001, 1_001, 1_001),
            ("suspended machine", 10, 5_000, 5_000),
            ("wall clock set back", 250, -60_000, None),
        ]
        start = Moment(10_000, 1_000_000)
        for name, monotonic_ms, wall_ms, gap_ms in cases:
            with self.subTest(name):
                pause_filter = PauseFilter()
                list(pause_filter.process(TimerDue(), start))
                later = Moment(10_000 + monotonic_ms, 1_000_000 + wall_ms)
                connected = PeerConnected(SeatNumber(1))
                outputs = [
                    output
                    for output in pause_filter.process(connected, later)
                    if not isinstance(output, LogEvent)
                ]
                jumps = [] if gap_ms is None else [ClockJumped(gap_ms)]
                self.assertEqual(outputs, [*jumps, connected])

    def test_timer_schedules_the_next_wake_up(self) -> None:
        pause_filter = PauseFilter()
        self.assertEqual(
            list(pause_filter.process(TimerDue(), Moment(5, 5))),
            [WakeAt(255), TimerDue()],
        )
