"""Establishes this daemon, the occupant of a seat, as a voter of its cell."""

import random
from collections.abc import Iterable, Sequence
from enum import Enum

from figshunt.claims._founding import Founding
from figshunt.claims._join_round import JoinRound
from figshunt.claims._key_time import GRANTED_AHEAD_MS
from figshunt.claims._known_incarnations import KnownIncarnations
from figshunt.pipeline import Output
from figshunt.types import (
    ClaimReply,
    FoundingVote,
    GenerationNumber,
    GrantsReceived,
    Incarnation,
    JoinerRecorded,
    JoinReply,
    JoinRequest,
    LogEvent,
    Message,
    Moment,
    PeerConnected,
    PeerMessage,
    PeerReceived,
    SeatNumber,
    SendPeer,
    Step,
    TablesInForce,
    TimerDue,
    WakeAt,
)

JOIN_INTERVAL_MS = 500
NONCE_BITS = 62


class EstablishmentState(Enum):
    """Progress of this occupant towards being a voter.

    It is ``WAITING`` until it has tables, which state the generation.
    """

    WAITING = "waiting"
    JOINING = "joining"
    ESTABLISHED = "established"
    SUPERSEDED = "superseded"


class EstablishmentFilter:
    """Owns the incarnations of all seats; offers an ``EstablishmentView``.

    An occupant starts without any state. In a running cell it joins: it becomes
    established once enough other seats to make a majority of the cell have
    recorded its incarnation and sent all their grants; these seats must be
    established and not superseded themselves. A cell without any established
    seat is founded by all its seats together, which vote for the same members.
    An occupant that learns that it was superseded never votes again.
    """

    step = Step.ESTABLISHMENT
    accepts: tuple[type[Message], ...] = (
        TablesInForce,
        PeerReceived,
        PeerConnected,
        TimerDue,
    )

    def __init__(
        self,
        own_seat: SeatNumber,
        seats: Sequence[SeatNumber],
        random_source: random.Random,
    ) -> None:
        self._own_seat = own_seat
        self._seats = tuple(seats)
        self._other_seats = tuple(seat for seat in seats if seat != own_seat)
        self._majority = len(self._seats) // 2 + 1
        self._random = random_source
        self._state = EstablishmentState.WAITING
        self._generation: GenerationNumber | None = None
        self._incarnation: Incarnation | None = None
        self._established_wall_ms: int | None = None
        self._grants_after_wall_ms = 0
        self._known = KnownIncarnations()
        self._join_round = JoinRound()
        self._founding = Founding(own_seat, self._seats)
        self._may_found = True
        self._next_send_ms = 0

    @property
    def own_seat(self) -> SeatNumber:
        """Return the seat of this daemon."""
        return self._own_seat

    @property
    def seats(self) -> tuple[SeatNumber, ...]:
        """Return all seats of the cell."""
        return self._seats

    @property
    def state(self) -> EstablishmentState:
        """Return the establishment state of this occupant."""
        return self._state

    @property
    def generation(self) -> GenerationNumber | None:
        """Return the generation in the tables, ``None`` before there are any."""
        return self._generation

    @property
    def incarnation(self) -> Incarnation | None:
        """Return this occupant's incarnation, ``None`` before there are tables."""
        return self._incarnation

    @property
    def established_wall_ms(self) -> int | None:
        """Return the wall time of establishment, ``None`` while not established."""
        if self._state is not EstablishmentState.ESTABLISHED:
            return None
        return self._established_wall_ms

    @property
    def known(self) -> KnownIncarnations:
        """Return the latest known occupant of each seat; not to be changed."""
        return self._known

    def is_granting_keys(self, now: Moment) -> bool:
        """Return whether the cell grants keys that are issued now.

        After the founding of a cell, every voter abstains until
        ``GRANTED_AHEAD_MS`` have passed. An occupant that joined doesn't wait
        here, since voters that were established before it grant such keys.
        """
        is_established = self._state is EstablishmentState.ESTABLISHED
        return is_established and now.wall_ms > self._grants_after_wall_ms

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case TablesInForce(tables):
                yield message
                yield from self._enter_generation(tables.generation, now)
            case PeerConnected(seat):
                yield message
                if self._state is EstablishmentState.JOINING:
                    yield from self._send_join_request((seat,), now)
            case TimerDue():
                yield message
                if self._state is EstablishmentState.JOINING:
                    yield from self._resend_when_due(now)
            case PeerReceived(seat, peer_message):
                yield from self._handle_peer_message(seat, peer_message, message, now)

    def _handle_peer_message(
        self,
        seat: SeatNumber,
        peer_message: PeerMessage,
        message: PeerReceived,
        now: Moment,
    ) -> Iterable[Output]:
        match peer_message:
            case JoinRequest():
                if peer_message.generation == self._generation:
                    yield from self._handle_join_request(seat, peer_message, now)
            case JoinReply():
                if peer_message.generation == self._generation:
                    yield from self._handle_join_reply(seat, peer_message, now)
            case FoundingVote():
                if peer_message.generation == self._generation:
                    yield from self._handle_founding_vote(peer_message, now)
            case ClaimReply(generation=generation, known=known):
                if generation == self._generation:
                    self._known.merge(known)
                    yield from self._check_superseded()
                yield message
            case _:
                yield message

    def _enter_generation(
        self, generation: GenerationNumber, now: Moment
    ) -> Iterable[Output]:
        if self._generation is not None and generation <= self._generation:
            return
        self._generation = generation
        self._known = KnownIncarnations()
        self._founding = Founding(self._own_seat, self._seats)
        self._may_found = True
        self._start_joining(now)
        yield from self._send_join_request(self._other_seats, now)
        yield from self._schedule_send(JOIN_INTERVAL_MS, now)
        yield from self._try_founding(now)

    def _start_joining(self, now: Moment) -> None:
        """Start to join, with an incarnation above every known one of this seat."""
        started_ms = now.wall_ms
        for earlier_incarnation in (self._incarnation, self._known.get(self._own_seat)):
            if earlier_incarnation is not None:
                started_ms = max(started_ms, earlier_incarnation.started_ms + 1)
        self._incarnation = Incarnation(
            started_ms, self._random.getrandbits(NONCE_BITS)
        )
        self._state = EstablishmentState.JOINING
        self._established_wall_ms = None
        self._join_round = JoinRound()

    def _handle_join_request(
        self, seat: SeatNumber, request: JoinRequest, now: Moment
    ) -> Iterable[Output]:
        if self._state is EstablishmentState.JOINING:
            is_new = self._founding.record_candidate(seat, request, now)
            yield from self._try_founding(now)
            if is_new and self._may_found:
                yield from self._send_join_request(self._other_seats, now)
            return
        if self._state is not EstablishmentState.ESTABLISHED:
            return
        yield from self._send_vote((seat,))
        self._known.record(seat, request.incarnation)
        assert self._generation is not None and self._incarnation is not None
        if self._known.is_superseded(seat, request.incarnation):
            refusal = JoinReply(
                generation=self._generation,
                sender=self._incarnation,
                joiner=request.incarnation,
                accepted=False,
                known=self._known.entries(),
                grants=(),
                snapshot=0,
                part=0,
                parts=1,
            )
            yield SendPeer(seat, refusal)
            return
        yield JoinerRecorded(
            seat,
            request.incarnation,
            self._generation,
            self._incarnation,
            self._known.entries(),
        )

    def _handle_join_reply(
        self, seat: SeatNumber, reply: JoinReply, now: Moment
    ) -> Iterable[Output]:
        self._may_found = False
        self._known.merge(reply.known)
        if self._state is EstablishmentState.ESTABLISHED:
            yield from self._check_superseded()
            return
        if self._state is not EstablishmentState.JOINING:
            return
        assert self._incarnation is not None
        if self._known.is_superseded(self._own_seat, self._incarnation):
            # The founding vote named the incarnation that is replaced here.
            self._founding = Founding(self._own_seat, self._seats)
            self._start_joining(now)
            # Without the random delay, two joiners of one seat could supersede
            # each other endlessly; it gives one of them the time to finish.
            wait_ms = self._random.randint(JOIN_INTERVAL_MS, 2 * JOIN_INTERVAL_MS)
            yield from self._schedule_send(wait_ms, now)
            return
        if reply.joiner != self._incarnation or not reply.accepted:
            return
        yield GrantsReceived(reply.grants)
        self._join_round.add(seat, reply)
        if self._join_round.count(self._known) >= self._majority:
            yield from self._establish(now, "joined")

    def _handle_founding_vote(
        self, vote: FoundingVote, now: Moment
    ) -> Iterable[Output]:
        if self._state is not EstablishmentState.JOINING:
            return
        if self._founding.add_vote(vote):
            yield from self._establish_if_unanimous(now)

    def _try_founding(self, now: Moment) -> Iterable[Output]:
        assert self._incarnation is not None
        if not self._may_found or not self._founding.try_vote(self._incarnation, now):
            return
        yield from self._send_vote(self._other_seats)
        yield from self._establish_if_unanimous(now)

    def _establish_if_unanimous(self, now: Moment) -> Iterable[Output]:
        if self._founding.is_unanimous():
            assert self._founding.members is not None
            self._known.merge(self._founding.members)
            self._grants_after_wall_ms = now.wall_ms + GRANTED_AHEAD_MS
            yield from self._establish(now, "founded")
            yield from self._send_vote(self._other_seats)
            yield from self._check_superseded()

    def _establish(self, now: Moment, method: str) -> Iterable[Output]:
        assert self._incarnation is not None
        self._known.record(self._own_seat, self._incarnation)
        self._state = EstablishmentState.ESTABLISHED
        self._established_wall_ms = now.wall_ms
        yield LogEvent(
            "seat_established",
            self.step,
            {
                "how": method,
                "generation": self._generation,
                "incarnation": self._incarnation.started_ms,
            },
        )

    def _check_superseded(self) -> Iterable[Output]:
        if self._state is not EstablishmentState.ESTABLISHED:
            return
        assert self._incarnation is not None
        if self._known.is_superseded(self._own_seat, self._incarnation):
            self._state = EstablishmentState.SUPERSEDED
            yield LogEvent(
                "seat_superseded",
                self.step,
                {"incarnation": self._incarnation.started_ms},
            )

    def _resend_when_due(self, now: Moment) -> Iterable[Output]:
        if now.monotonic_ms >= self._next_send_ms:
            yield from self._try_founding(now)
            yield from self._send_join_request(self._other_seats, now)
            yield from self._schedule_send(JOIN_INTERVAL_MS, now)

    def _schedule_send(self, wait_ms: int, now: Moment) -> Iterable[Output]:
        if self._other_seats:
            self._next_send_ms = now.monotonic_ms + wait_ms
            yield WakeAt(self._next_send_ms)

    def _send_join_request(
        self, seats: Sequence[SeatNumber], now: Moment
    ) -> Iterable[Output]:
        if self._state is not EstablishmentState.JOINING:
            return
        assert self._generation is not None and self._incarnation is not None
        candidates = self._founding.candidates(self._incarnation, now)
        request = JoinRequest(self._generation, self._incarnation, candidates)
        for seat in seats:
            yield SendPeer(seat, request)
        yield from self._send_vote(seats)

    def _send_vote(self, seats: Sequence[SeatNumber]) -> Iterable[Output]:
        assert self._generation is not None
        vote = self._founding.vote(self._generation)
        if vote is not None:
            for seat in seats:
                yield SendPeer(seat, vote)
