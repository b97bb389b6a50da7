"""Keeps which seats of the cell are heard."""

import random
from collections.abc import Iterable, Sequence

from figshunt.pipeline import Output
from figshunt.types import (
    ClockJumped,
    Heartbeat,
    Hello,
    HostName,
    HostsListed,
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

HEARTBEAT_MS = 500
HEARD_WITHIN_MS = 3_000
STAMP_BASE_BITS = 48


class MembershipFilter:
    """Owns the times at which seats were last heard; offers a ``SeatsView``.

    A heartbeat carries a stamp, which the addressee sends back in its own
    next heartbeat. A seat counts as heard since the time at which the stamp
    that it sent back was made, so heartbeats that lay in a buffer while this
    process was paused prove nothing. Stamps count from a random base, so a
    stamp made by an earlier occupant of the seat is not taken for an own one.
    """

    step = Step.MEMBERSHIP
    accepts: tuple[type[Message], ...] = (
        TimerDue,
        PeerReceived,
        PeerConnected,
        TablesInForce,
        TableReadsChanged,
        HostsListed,
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
        self._others = tuple(seat for seat in seats if seat != own_seat)
        self._stamp_base = random_source.getrandbits(STAMP_BASE_BITS)
        self._stamps_valid_from_ms: int | None = None
        self._next_heartbeat_ms: int | None = None
        self._heard_ms_by_seat: dict[SeatNumber, int] = {}
        self._stamps_by_seat: dict[SeatNumber, int] = {}
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

    def is_heard(self, seat: SeatNumber, now: Moment) -> bool:
        """Return whether the seat's daemon was alive within the last 3 s."""
        age_ms = self.heard_age_ms(seat, now)
        return age_ms is not None and age_ms <= HEARD_WITHIN_MS

    def heard_age_ms(self, seat: SeatNumber, now: Moment) -> int | None:
        """Return how long ago the seat was surely alive, if it ever was."""
        if seat == self._own_seat:
            return 0
        heard_ms = self._heard_ms_by_seat.get(seat)
        return None if heard_ms is None else now.monotonic_ms - heard_ms

    def hears_majority(self, now: Moment) -> bool:
        """Return whether this daemon and those it hears are a majority."""
        heard = sum(self.is_heard(seat, now) for seat in self._seats)
        return heard > len(self._seats) // 2

    def is_draining(self, seat: SeatNumber) -> bool:
        """Return whether the seat's daemon is shutting down or its host leaving."""
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
                yield from self._beat_when_due(now)
            case PeerReceived(seat, Heartbeat() as heartbeat):
                yield from self._hear(seat, heartbeat, now)
            case PeerReceived(seat, Hello() as hello):
                self._seat_occupant(seat, hello)
            case PeerConnected(seat):
                yield self._heartbeat_for(seat, now)
            case TablesInForce(tables):
                self._revision = tables.revision
            case TableReadsChanged(works):
                self._reads_tables = works
                yield from self._beat(now)
            case HostsListed(hosts):
                self._leaving_hosts = frozenset(
                    host.name for host in hosts if host.state is HostState.LEAVING
                )
            case ClockJumped():
                yield from self._forget_all(now)
            case StopRequested():
                self._is_stopping = True
                yield from self._beat(now)
        yield message

    def _beat_when_due(self, now: Moment) -> Iterable[Output]:
        due_ms = self._next_heartbeat_ms
        if due_ms is not None and now.monotonic_ms < due_ms:
            return
        self._next_heartbeat_ms = now.monotonic_ms + HEARTBEAT_MS
        yield WakeAt(self._next_heartbeat_ms)
        yield from self._beat(now)

    def _beat(self, now: Moment) -> Iterable[Output]:
        for seat in self._others:
            yield self._heartbeat_for(seat, now)

    def _heartbeat_for(self, seat: SeatNumber, now: Moment) -> SendPeer:
        heartbeat = Heartbeat(
            revision=self._revision,
            draining=self._is_stopping,
            reads_tables=self._reads_tables,
            stamp=self._stamp_base + now.monotonic_ms,
            echo=self._stamps_by_seat.get(seat),
        )
        return SendPeer(seat, heartbeat)

    def _hear(
        self, seat: SeatNumber, heartbeat: Heartbeat, now: Moment
    ) -> Iterable[Output]:
        if seat not in self._others:
            return
        self._stamps_by_seat[seat] = heartbeat.stamp
        self._heartbeats_by_seat[seat] = heartbeat
        if heartbeat.echo is None:
            yield self._heartbeat_for(seat, now)
            return
        heard_ms = heartbeat.echo - self._stamp_base
        valid_from_ms = self._stamps_valid_from_ms
        is_own = heard_ms <= now.monotonic_ms and (
            valid_from_ms is None or heard_ms >= valid_from_ms
        )
        if is_own and heard_ms > self._heard_ms_by_seat.get(seat, -1):
            self._heard_ms_by_seat[seat] = heard_ms

    def _seat_occupant(self, seat: SeatNumber, hello: Hello) -> None:
        present = self._occupants_by_seat.get(seat)
        self._occupants_by_seat[seat] = hello
        if present is not None and present.incarnation != hello.incarnation:
            self._heard_ms_by_seat.pop(seat, None)
            self._stamps_by_seat.pop(seat, None)
            self._heartbeats_by_seat.pop(seat, None)

    def _forget_all(self, now: Moment) -> Iterable[Output]:
        """Count only round trips that begin after the jump."""
        self._stamps_valid_from_ms = now.monotonic_ms
        self._heard_ms_by_seat.clear()
        self._stamps_by_seat.clear()
        yield from self._beat(now)

    def incarnation(self, seat: SeatNumber) -> IncarnationNumber | None:
        """Return the incarnation of the seat's occupant, as it said at connecting."""
        occupant = self._occupants_by_seat.get(seat)
        return None if occupant is None else occupant.incarnation
