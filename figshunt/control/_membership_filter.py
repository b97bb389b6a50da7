"""Tracks which seats of the cell are reachable."""

import random
from collections.abc import Iterable, Sequence

from figshunt.pipeline import Output
from figshunt.types import (
    ClockJumped,
    Heartbeat,
    Hello,
    HostListReceived,
    HostName,
    HostState,
    IncarnationNumber,
    Message,
    Moment,
    PeerConnected,
    PeerReceived,
    RevisionNumber,
    SeatNumber,
    SendPeer,
    Step,
    StopRequested,
    TableReadsChanged,
    TablesInForce,
    TimerDue,
    WakeAt,
)

HEARTBEAT_INTERVAL_MS = 500
CONTACT_TIMEOUT_MS = 3_000
STAMP_BASE_BITS = 48


class MembershipFilter:
    """Owns the time of the last contact with each seat; offers a ``SeatsView``.

    A heartbeat carries a stamp, which the addressee echoes in its own next
    heartbeat. The time of contact is the time at which the echoed stamp was
    created, not the time at which the echo arrived. Heartbeats that were
    buffered while this process was paused therefore don't count as contact.
    Stamps start from a random base, so the echo of a stamp of an earlier
    occupant of this seat isn't mistaken for an echo of this daemon's stamp.
    """

    step = Step.MEMBERSHIP
    accepts: tuple[type[Message], ...] = (
        TimerDue,
        PeerReceived,
        PeerConnected,
        TablesInForce,
        TableReadsChanged,
        HostListReceived,
        ClockJumped,
        StopRequested,
    )

    def __init__(
        self,
        own_seat: SeatNumber,
        seats: Sequence[SeatNumber],
        random_source: random.Random,
    ) -> None:
        self._own_seat = own_seat
        self._seats = tuple(seats)
        self._peer_seats = tuple(seat for seat in seats if seat != own_seat)
        self._stamp_base = random_source.getrandbits(STAMP_BASE_BITS)
        self._stamps_valid_from_ms: int | None = None
        self._next_heartbeat_ms: int | None = None
        self._contact_ms_by_seat: dict[SeatNumber, int] = {}
        self._peer_stamps_by_seat: dict[SeatNumber, int] = {}
        self._heartbeats_by_seat: dict[SeatNumber, Heartbeat] = {}
        self._occupants_by_seat: dict[SeatNumber, Hello] = {}
        self._leaving_hosts: frozenset[HostName] = frozenset()
        self._revision = RevisionNumber(0)
        self._reads_tables = True
        self._is_stopping = False

    @property
    def own_seat(self) -> SeatNumber:
        """Return the seat of this daemon."""
        return self._own_seat

    @property
    def seats(self) -> tuple[SeatNumber, ...]:
        """Return all seats of the cell, in order."""
        return self._seats

    def is_reachable(self, seat: SeatNumber, now: Moment) -> bool:
        """Return whether the seat's daemon was in contact within the last 3 s."""
        age_ms = self.last_contact_age_ms(seat, now)
        return age_ms is not None and age_ms <= CONTACT_TIMEOUT_MS

    def last_contact_age_ms(self, seat: SeatNumber, now: Moment) -> int | None:
        """Return the time since the last contact with the seat, if there was one."""
        if seat == self._own_seat:
            return 0
        contact_ms = self._contact_ms_by_seat.get(seat)
        return None if contact_ms is None else now.monotonic_ms - contact_ms

    def has_quorum(self, now: Moment) -> bool:
        """Return whether this daemon and its reachable peers form a majority."""
        reachable_count = sum(self.is_reachable(seat, now) for seat in self._seats)
        return reachable_count > len(self._seats) // 2

    def is_draining(self, seat: SeatNumber) -> bool:
        """Return whether the seat's daemon is stopping or its host is leaving."""
        if seat == self._own_seat:
            return self._is_stopping
        heartbeat = self._heartbeats_by_seat.get(seat)
        occupant = self._occupants_by_seat.get(seat)
        return (heartbeat is not None and heartbeat.draining) or (
            occupant is not None and occupant.host in self._leaving_hosts
        )

    def reads_tables(self, seat: SeatNumber) -> bool:
        """Return whether the seat's reads of the configuration service succeed."""
        heartbeat = self._heartbeats_by_seat.get(seat)
        return heartbeat is None or heartbeat.reads_tables

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case TimerDue():
                yield from self._send_heartbeats_when_due(now)
            case PeerReceived(seat, Heartbeat() as heartbeat):
                yield from self._receive_heartbeat(seat, heartbeat, now)
            case PeerReceived(seat, Hello() as hello):
                self._record_occupant(seat, hello)
            case PeerConnected(seat):
                yield self._build_heartbeat(seat, now)
            case TablesInForce(tables):
                self._revision = tables.revision
            case TableReadsChanged(reads_succeed):
                self._reads_tables = reads_succeed
                yield from self._send_heartbeats(now)
            case HostListReceived(hosts):
                self._leaving_hosts = frozenset(
                    host.name for host in hosts if host.state is HostState.LEAVING
                )
            case ClockJumped():
                yield from self._discard_contacts(now)
            case StopRequested():
                self._is_stopping = True
                yield from self._send_heartbeats(now)
        yield message

    def _send_heartbeats_when_due(self, now: Moment) -> Iterable[Output]:
        due_ms = self._next_heartbeat_ms
        if due_ms is not None and now.monotonic_ms < due_ms:
            return
        self._next_heartbeat_ms = now.monotonic_ms + HEARTBEAT_INTERVAL_MS
        yield WakeAt(self._next_heartbeat_ms)
        yield from self._send_heartbeats(now)

    def _send_heartbeats(self, now: Moment) -> Iterable[Output]:
        for seat in self._peer_seats:
            yield self._build_heartbeat(seat, now)

    def _build_heartbeat(self, seat: SeatNumber, now: Moment) -> SendPeer:
        heartbeat = Heartbeat(
            revision=self._revision,
            draining=self._is_stopping,
            reads_tables=self._reads_tables,
            stamp=self._stamp_base + now.monotonic_ms,
            echo=self._peer_stamps_by_seat.get(seat),
        )
        return SendPeer(seat, heartbeat)

    def _receive_heartbeat(
        self, seat: SeatNumber, heartbeat: Heartbeat, now: Moment
    ) -> Iterable[Output]:
        if seat not in self._peer_seats:
            return
        self._peer_stamps_by_seat[seat] = heartbeat.stamp
        self._heartbeats_by_seat[seat] = heartbeat
        if heartbeat.echo is None:
            yield self._build_heartbeat(seat, now)
            return
        contact_ms = heartbeat.echo - self._stamp_base
        valid_from_ms = self._stamps_valid_from_ms
        is_valid = contact_ms <= now.monotonic_ms and (
            valid_from_ms is None or contact_ms >= valid_from_ms
        )
        if is_valid and contact_ms > self._contact_ms_by_seat.get(seat, -1):
            self._contact_ms_by_seat[seat] = contact_ms

    def _record_occupant(self, seat: SeatNumber, hello: Hello) -> None:
        previous_occupant = self._occupants_by_seat.get(seat)
        self._occupants_by_seat[seat] = hello
        if (
            previous_occupant is not None
            and previous_occupant.incarnation != hello.incarnation
        ):
            self._contact_ms_by_seat.pop(seat, None)
            self._peer_stamps_by_seat.pop(seat, None)
            self._heartbeats_by_seat.pop(seat, None)

    def _discard_contacts(self, now: Moment) -> Iterable[Output]:
        """Discard all contacts and accept only echoes of stamps created from now on."""
        self._stamps_valid_from_ms = now.monotonic_ms
        self._contact_ms_by_seat.clear()
        self._peer_stamps_by_seat.clear()
        yield from self._send_heartbeats(now)

    def incarnation(self, seat: SeatNumber) -> IncarnationNumber | None:
        """Return the incarnation from the last ``Hello`` of the seat's occupant."""
        occupant = self._occupants_by_seat.get(seat)
        return None if occupant is None else occupant.incarnation
