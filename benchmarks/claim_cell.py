"""Simulation of the claim filters of one cell.

The simulated network can lose, duplicate and reorder messages, and an occupant can
be paused, killed or cut off from the others.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from figshunt.claims import (
    AnswerFilter,
    AnswerStore,
    ClaimantFilter,
    ClaimRecords,
    EstablishmentFilter,
    EstablishmentState,
    GrantLedger,
    VoterFilter,
)
from figshunt.pipeline import Output, Pipeline, WakeQueue
from figshunt.tables import Route, Tables
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptId,
    AttemptPlanned,
    ClockJumped,
    FailAnswer,
    Fingerprint,
    GenerationNumber,
    IdempotencyKey,
    Message,
    Moment,
    PeerMessage,
    PeerReceived,
    PoolName,
    Request,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestId,
    RevisionNumber,
    RoutedRequest,
    RouteName,
    RunnerId,
    RunOutcome,
    SeatNumber,
    SendAnswer,
    SendPeer,
    Step,
    TablesInForce,
    TeamName,
    Tier,
    TimerDue,
    WakeAt,
)

START_WALL_MS = 1_800_000_000_000
MAX_CLOCK_SKEW_MS = 500
SETTLE_STEP_MS = 50
MIN_CLOCK_JUMP_MS = 1_000
MAX_DELIVERIES = 100_000

ROUTE = Route(
    name=RouteName("booking"),
    pool=PoolName("registry"),
    tier=Tier(1),
    latency_target_ms=1_000,
    idempotent=False,
    deadline_ms=20_000,
    max_run_ms=20_000,
)
TEAM = TeamName("team-a")


def build_key(issue_ms: int, number: int) -> IdempotencyKey:
    """Return a UUIDv7 with the issue time and a number in its random part."""
    value = issue_ms << 80 | 7 << 76 | 2 << 62 | number
    text = f"{value:032x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return IdempotencyKey("-".join(parts))


def build_answer(request_id: RequestId) -> bytes:
    """Return the body of the runner's answer to a request."""
    return f"answer to {request_id}".encode()


def build_tables_in_force(generation: int) -> TablesInForce:
    """Return the message that puts tables of a generation into force."""
    tables = Tables(
        revision=RevisionNumber(generation),
        generation=GenerationNumber(generation),
        routes_by_name={ROUTE.name: ROUTE},
        pools_by_name={},
        runners_by_id={},
        teams_by_key_sha256={},
        data_centre_states_by_name={},
    )
    return TablesInForce(tables)


@dataclass(slots=True)
class Occupant:
    """The claim filters of one daemon.

    A replaced occupant may still be running next to the newer one in its seat.
    """

    number: int
    seat: SeatNumber
    skew_ms: int
    establishment: EstablishmentFilter
    pipeline: Pipeline
    wakes: WakeQueue = field(default_factory=WakeQueue)
    queued_requests: list[RoutedRequest] = field(default_factory=list)
    cancelled_request_ids: list[RequestId] = field(default_factory=list)
    generation: int = 0
    paused_at_ms: int | None = None
    partition_group: int = 0

    @property
    def is_established(self) -> bool:
        """Return whether the occupant may vote on claims."""
        return self.establishment.state is EstablishmentState.ESTABLISHED


class RequestCollector:
    """Replaces the filters after the claimant.

    Collects the admitted requests and the ids of cancelled ones.
    """

    step = Step.SCHEDULE
    accepts: tuple[type[Message], ...] = (RequestAdmitted, RequestCancelled)

    def __init__(
        self,
        queued_requests: list[RoutedRequest],
        cancelled_request_ids: list[RequestId],
    ) -> None:
        self._queued_requests = queued_requests
        self._cancelled_request_ids = cancelled_request_ids

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Record an admitted or cancelled request."""
        match message:
            case RequestAdmitted(routed):
                self._queued_requests.append(routed)
            case RequestCancelled(request_id):
                self._cancelled_request_ids.append(request_id)
        return ()


@dataclass(frozen=True, slots=True)
class InFlightMessage:
    """A peer message that was sent and not yet delivered."""

    sender: Occupant
    seat: SeatNumber
    message: PeerMessage


@dataclass(slots=True)
class KeyHistory:
    """Events of one key.

    An event is recorded as the number of messages that the occupants had processed
    in total when it happened.
    """

    arrival_events_by_request: dict[RequestId, int] = field(default_factory=dict)
    dispatch_events: list[int] = field(default_factory=list)
    answer: bytes = b""
    not_run_events: list[int] = field(default_factory=list)


class ClaimCell:
    """The seats of one cell, their occupants, messages in flight and key histories.

    Violations of the claim protocol are collected in ``faults``.
    """

    def __init__(self, seats: int, random_source: random.Random) -> None:
        self.random = random_source
        self.seats = tuple(SeatNumber(seat) for seat in range(seats))
        self.occupants: list[Occupant] = []
        self.latest_by_seat: dict[SeatNumber, Occupant] = {}
        self.messages_in_flight: list[InFlightMessage] = []
        self.histories_by_key: dict[IdempotencyKey, KeyHistory] = {}
        self.faults: list[str] = []
        self.failures: list[FailAnswer] = []
        self.answers_by_request: dict[RequestId, bytes] = {}
        self.messages_sent = 0
        self.generation = 1
        self._now_ms = 0
        self._event_count = 0
        self._occupant_count = 0
        self._request_count = 0

    # Occupants

    def start(self, seat: int, skew_ms: int = 0) -> Occupant:
        """Start an occupant without state; a previous one in the seat keeps running."""
        seat_number = self.seats[seat]
        establishment = EstablishmentFilter(seat_number, self.seats, self.random)
        queued_requests: list[RoutedRequest] = []
        cancelled_request_ids: list[RequestId] = []
        records = ClaimRecords()
        filters = [
            establishment,
            VoterFilter(establishment, GrantLedger()),
            ClaimantFilter(establishment, records),
            AnswerFilter(establishment, records, AnswerStore(), self.random),
            RequestCollector(queued_requests, cancelled_request_ids),
        ]
        self._occupant_count += 1
        occupant = Occupant(
            self._occupant_count,
            seat_number,
            skew_ms,
            establishment,
            Pipeline(filters),
            queued_requests=queued_requests,
            cancelled_request_ids=cancelled_request_ids,
        )
        self.occupants.append(occupant)
        self.latest_by_seat[seat_number] = occupant
        self.enter_generation(occupant)
        return occupant

    def start_all(self, skew_ms: int = 0) -> None:
        """Start an occupant in every seat."""
        for seat in self.seats:
            self.start(seat, self.random.randint(-skew_ms, skew_ms))

    def kill(self, occupant: Occupant) -> None:
        """Remove an occupant; the messages it has sent stay in flight."""
        if occupant in self.occupants:
            self.occupants.remove(occupant)

    def kill_replaced(self) -> None:
        """Remove every occupant that is not the latest one of its seat."""
        self.occupants = [
            occupant
            for occupant in self.occupants
            if self.latest_by_seat[occupant.seat] is occupant
        ]

    def enter_generation(self, occupant: Occupant) -> None:
        """Put tables of the current generation into force at an occupant."""
        if occupant.generation < self.generation:
            occupant.generation = self.generation
            self.handle_message(occupant, build_tables_in_force(self.generation))

    def pause(self, occupant: Occupant) -> None:
        """Suspend an occupant; it keeps its state and receives nothing."""
        occupant.paused_at_ms = self._now_ms

    def resume(self, occupant: Occupant, detects_pause: bool = True) -> None:
        """Resume a paused occupant.

        With ``detects_pause`` it processes ``ClockJumped`` if the pause was longer than
        ``MIN_CLOCK_JUMP_MS``.
        """
        assert occupant.paused_at_ms is not None
        gap_ms = self._now_ms - occupant.paused_at_ms
        occupant.paused_at_ms = None
        if detects_pause and gap_ms > MIN_CLOCK_JUMP_MS:
            self.handle_message(occupant, ClockJumped(gap_ms))

    # Time and messages

    def read_clocks(self, occupant: Occupant) -> Moment:
        """Return the occupant's clock readings; its wall clock is skewed."""
        return Moment(self._now_ms, START_WALL_MS + self._now_ms + occupant.skew_ms)

    def handle_message(self, occupant: Occupant, message: Message) -> None:
        """Process a message at an occupant and apply the effects."""
        self._event_count += 1
        for effect in occupant.pipeline.handle(message, self.read_clocks(occupant)):
            match effect:
                case SendPeer(seat, peer_message):
                    self.messages_sent += 1
                    self.messages_in_flight.append(
                        InFlightMessage(occupant, seat, peer_message)
                    )
                case WakeAt(monotonic_ms):
                    occupant.wakes.add(monotonic_ms)
                case SendAnswer(request_id, data):
                    self._record_answer(request_id, data)
                case FailAnswer():
                    self.failures.append(effect)
                    if effect.outcome is RunOutcome.NOT_RUN:
                        self._record_not_run(effect.request_id)

    def advance(self, duration_ms: int) -> None:
        """Advance the time and fire the due timers of all running occupants."""
        self._now_ms += duration_ms
        for occupant in tuple(self.occupants):
            if occupant.paused_at_ms is None and occupant.wakes.pop_due(self._now_ms):
                self.handle_message(occupant, TimerDue())

    def deliver(self, in_flight: InFlightMessage) -> None:
        """Deliver a message to a random reachable occupant of the receiving seat.

        The message is lost if no occupant of the seat is reachable.
        """
        reachable_occupants = [
            occupant
            for occupant in self.occupants
            if occupant.seat == in_flight.seat
            and occupant.paused_at_ms is None
            and occupant.partition_group == in_flight.sender.partition_group
        ]
        if reachable_occupants:
            receiver = self.random.choice(reachable_occupants)
            self.handle_message(
                receiver, PeerReceived(in_flight.sender.seat, in_flight.message)
            )

    def deliver_all(self) -> None:
        """Deliver messages in the order of sending until none is in flight.

        :raises RuntimeError: if messages remain after ``MAX_DELIVERIES`` deliveries.
        """
        for _ in range(MAX_DELIVERIES):
            if not self.messages_in_flight:
                return
            self.deliver(self.messages_in_flight.pop(0))
        raise RuntimeError(
            f"messages are still in flight after {MAX_DELIVERIES} deliveries"
        )

    def settle(self, duration_ms: int) -> None:
        """Advance the time in small steps on a network without faults."""
        for _ in range(duration_ms // SETTLE_STEP_MS):
            self.deliver_all()
            self.advance(SETTLE_STEP_MS)
        self.deliver_all()

    def connect_only(self, *occupants: Occupant) -> None:
        """Isolate all other occupants and drop the messages in flight."""
        self.messages_in_flight.clear()
        for occupant in self.occupants:
            occupant.partition_group = 0 if occupant in occupants else occupant.number

    # Requests

    def issue_key(self, skew_ms: int = 0) -> IdempotencyKey:
        """Return a new key, issued now by a caller's skewed clock."""
        number = len(self.histories_by_key) + 1
        key = build_key(START_WALL_MS + self._now_ms + skew_ms, number)
        self.histories_by_key[key] = KeyHistory()
        return key

    def submit(
        self,
        occupant: Occupant,
        key: IdempotencyKey,
        idempotent: bool = False,
        content: str = "",
        team: TeamName = TEAM,
    ) -> RequestId:
        """Submit a request with the key to an occupant and return its id."""
        self._request_count += 1
        request_id = RequestId(f"request-{self._request_count}")
        now = self.read_clocks(occupant)
        request = Request(
            request_id=request_id,
            route=ROUTE.name,
            caller_key="",
            key=key,
            method="POST",
            path="/",
            content_type="",
            body=b"",
            stream=False,
            prompt_tokens=0,
            prefixes=(),
            fingerprint=Fingerprint(content),
            arrived=now,
        )
        deadline_ms = now.monotonic_ms + ROUTE.deadline_ms
        route = replace(ROUTE, idempotent=idempotent)
        routed = RoutedRequest(request, team, route, deadline_ms)
        history = self.histories_by_key.setdefault(key, KeyHistory())
        history.arrival_events_by_request[request_id] = self._event_count
        self.handle_message(occupant, RequestAdmitted(routed))
        return request_id

    def dispatch_next(
        self, occupant: Occupant, outcome: RunOutcome = RunOutcome.RAN
    ) -> None:
        """Dispatch an occupant's oldest queued request and end it with ``outcome``."""
        routed = occupant.queued_requests.pop(0)
        self._record_dispatch(routed)
        attempt_id = AttemptId(routed.request_id)
        attempt_planned = AttemptPlanned(
            attempt_id, RunnerId("runner"), routed, routed.deadline_ms
        )
        self.handle_message(occupant, attempt_planned)
        self.handle_message(occupant, AnswerHead(attempt_id, 200, "text/plain"))
        answer = build_answer(routed.request_id)
        self.handle_message(occupant, AttemptChunk(attempt_id, answer, 0, 0))
        request_ended = RequestEnded(replace(routed, attempts_started=1), outcome, None)
        self.handle_message(occupant, request_ended)

    def expire_next(self, occupant: Occupant) -> None:
        """End an occupant's oldest queued request as not run.

        This is what happens when the deadline of a queued request passes.
        """
        routed = occupant.queued_requests.pop(0)
        self._record_not_run(routed.request_id)
        self.handle_message(occupant, RequestEnded(routed, RunOutcome.NOT_RUN, None))

    def dispatch_all(self) -> None:
        """Dispatch all queued requests of all occupants."""
        for occupant in tuple(self.occupants):
            while occupant.queued_requests:
                self.dispatch_next(occupant)

    def count_dispatches(self, key: IdempotencyKey) -> int:
        """Return the number of times the key was dispatched to a runner."""
        return len(self.histories_by_key[key].dispatch_events)

    def _record_dispatch(self, routed: RoutedRequest) -> None:
        key = routed.request.key
        assert key is not None
        history = self.histories_by_key[key]
        if history.dispatch_events:
            self.faults.append(f"{key} was dispatched twice")
        arrival_event = history.arrival_events_by_request[routed.request_id]
        if any(
            not_run_event > arrival_event for not_run_event in history.not_run_events
        ):
            self.faults.append(f"{key} ran after it was answered as not run")
        history.dispatch_events.append(self._event_count)
        history.answer = build_answer(routed.request_id)

    def _record_answer(self, request_id: RequestId, data: bytes) -> None:
        self.answers_by_request[request_id] = data
        for key, history in self.histories_by_key.items():
            if (
                request_id in history.arrival_events_by_request
                and data != history.answer
            ):
                self.faults.append(f"{key} got the answer to another key")

    def _record_not_run(self, request_id: RequestId) -> None:
        for key, history in self.histories_by_key.items():
            if request_id in history.arrival_events_by_request:
                history.not_run_events.append(self._event_count)
                if history.dispatch_events:
                    self.faults.append(f"{key} was answered as not run after it ran")
