"""The claim filters of one cell on a network that loses and reorders messages."""

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
MOST_SKEW_MS = 500
QUIET_STEP_MS = 50
PAUSE_NOTICE_MS = 1_000
MOST_DELIVERIES = 100_000

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


def answer_to(request_id: RequestId) -> bytes:
    """Return what a runner answers to a request."""
    return f"answer to {request_id}".encode()


def build_generation(generation: int) -> TablesInForce:
    """Return the message that brings tables of a generation into force."""
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
    """One daemon's claim filters; several may be alive in one seat."""

    number: int
    seat: SeatNumber
    skew_ms: int
    establishment: EstablishmentFilter
    pipeline: Pipeline
    wakes: WakeQueue = field(default_factory=WakeQueue)
    queued: list[RoutedRequest] = field(default_factory=list)
    cancelled: list[RequestId] = field(default_factory=list)
    generation: int = 0
    paused_ms: int | None = None
    group: int = 0

    @property
    def is_established(self) -> bool:
        """Return whether the occupant votes."""
        return self.establishment.state is EstablishmentState.ESTABLISHED


class QueueSink:
    """Stands for the filters behind the claimant: queues what was admitted."""

    step = Step.SCHEDULE
    accepts: tuple[type[Message], ...] = (RequestAdmitted, RequestCancelled)

    def __init__(self, queued: list[RoutedRequest], cancelled: list[RequestId]) -> None:
        self._queued = queued
        self._cancelled = cancelled

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestAdmitted(routed):
                self._queued.append(routed)
            case RequestCancelled(request_id):
                self._cancelled.append(request_id)
        return ()


@dataclass(frozen=True, slots=True)
class Flight:
    """A peer message on its way."""

    sender: Occupant
    seat: SeatNumber
    message: PeerMessage


@dataclass(slots=True)
class KeyHistory:
    """What happened to one key, and when, counted in events of the trial."""

    arrivals: dict[RequestId, int] = field(default_factory=dict)
    dispatches: list[int] = field(default_factory=list)
    answer: bytes = b""
    refusals_not_run: list[int] = field(default_factory=list)


class ClaimCell:
    """Seats, their occupants, messages in flight, and what became of keys."""

    def __init__(self, seats: int, random_source: random.Random) -> None:
        self.random = random_source
        self.seats = tuple(SeatNumber(seat) for seat in range(seats))
        self.occupants: list[Occupant] = []
        self.latest_by_seat: dict[SeatNumber, Occupant] = {}
        self.flights: list[Flight] = []
        self.histories_by_key: dict[IdempotencyKey, KeyHistory] = {}
        self.faults: list[str] = []
        self.failures: list[FailAnswer] = []
        self.answers_by_request: dict[RequestId, bytes] = {}
        self.messages_sent = 0
        self.generation = 1
        self._now_ms = 0
        self._events = 0
        self._occupants_started = 0
        self._requests = 0

    # Occupants

    def start(self, seat: int, skew_ms: int = 0) -> Occupant:
        """Start an empty occupant; the one before it stays alive."""
        seat_number = self.seats[seat]
        establishment = EstablishmentFilter(seat_number, self.seats, self.random)
        queued: list[RoutedRequest] = []
        cancelled: list[RequestId] = []
        records = ClaimRecords()
        filters = [
            establishment,
            VoterFilter(establishment, GrantLedger()),
            ClaimantFilter(establishment, records),
            AnswerFilter(establishment, records, AnswerStore(), self.random),
            QueueSink(queued, cancelled),
        ]
        self._occupants_started += 1
        occupant = Occupant(
            self._occupants_started,
            seat_number,
            skew_ms,
            establishment,
            Pipeline(filters),
            queued=queued,
            cancelled=cancelled,
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
        """End an occupant; what it sent stays in flight."""
        if occupant in self.occupants:
            self.occupants.remove(occupant)

    def kill_replaced(self) -> None:
        """End every occupant that is not the latest of its seat."""
        self.occupants = [
            one for one in self.occupants if self.latest_by_seat[one.seat] is one
        ]

    def enter_generation(self, occupant: Occupant) -> None:
        """Bring the present generation of the tables to one occupant."""
        if occupant.generation < self.generation:
            occupant.generation = self.generation
            self.handle_message(occupant, build_generation(self.generation))

    def pause(self, occupant: Occupant) -> None:
        """Stop an occupant without ending it."""
        occupant.paused_ms = self._now_ms

    def resume(self, occupant: Occupant, notice: bool = True) -> None:
        """Let an occupant run on, perhaps with a notice of the gap."""
        assert occupant.paused_ms is not None
        gap_ms = self._now_ms - occupant.paused_ms
        occupant.paused_ms = None
        if notice and gap_ms > PAUSE_NOTICE_MS:
            self.handle_message(occupant, ClockJumped(gap_ms))

    # Time and messages

    def moment(self, occupant: Occupant) -> Moment:
        """Return the time as the occupant's clocks show it."""
        return Moment(self._now_ms, START_WALL_MS + self._now_ms + occupant.skew_ms)

    def handle_message(self, occupant: Occupant, message: Message) -> None:
        """Let an occupant process one message and carry out its effects."""
        self._events += 1
        for effect in occupant.pipeline.handle(message, self.moment(occupant)):
            match effect:
                case SendPeer(seat, peer_message):
                    self.messages_sent += 1
                    self.flights.append(Flight(occupant, seat, peer_message))
                case WakeAt(monotonic_ms):
                    occupant.wakes.add(monotonic_ms)
                case SendAnswer(request_id, data):
                    self._note_answer(request_id, data)
                case FailAnswer():
                    self.failures.append(effect)
                    if effect.outcome is RunOutcome.NOT_RUN:
                        self._note_not_run(effect.request_id)

    def advance(self, duration_ms: int) -> None:
        """Let time pass and fire the timers of those that run."""
        self._now_ms += duration_ms
        for occupant in tuple(self.occupants):
            if occupant.paused_ms is None and occupant.wakes.pop_due(self._now_ms):
                self.handle_message(occupant, TimerDue())

    def deliver(self, flight: Flight) -> None:
        """Hand a message to some occupant of its seat that can be reached."""
        reachable = [
            one
            for one in self.occupants
            if one.seat == flight.seat
            and one.paused_ms is None
            and one.group == flight.sender.group
        ]
        if reachable:
            receiver = self.random.choice(reachable)
            self.handle_message(
                receiver, PeerReceived(flight.sender.seat, flight.message)
            )

    def deliver_all(self) -> None:
        """Deliver everything, in order, until nothing is in flight."""
        for _ in range(MOST_DELIVERIES):
            if not self.flights:
                return
            self.deliver(self.flights.pop(0))
        raise RuntimeError("the occupants send messages without end")

    def settle(self, duration_ms: int) -> None:
        """Let a fault-free network run for a while."""
        for _ in range(duration_ms // QUIET_STEP_MS):
            self.deliver_all()
            self.advance(QUIET_STEP_MS)
        self.deliver_all()

    def connect_only(self, *occupants: Occupant) -> None:
        """Cut all other occupants off, and lose what is in flight."""
        self.flights.clear()
        for occupant in self.occupants:
            occupant.group = 0 if occupant in occupants else occupant.number

    # Requests

    def issue_key(self, skew_ms: int = 0) -> IdempotencyKey:
        """Return a new key that a caller issues now."""
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
        """Let a request with the key arrive at an occupant."""
        self._requests += 1
        request_id = RequestId(f"request-{self._requests}")
        now = self.moment(occupant)
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
        history.arrivals[request_id] = self._events
        self.handle_message(occupant, RequestAdmitted(routed))
        return request_id

    def run(self, occupant: Occupant, outcome: RunOutcome = RunOutcome.RAN) -> None:
        """Dispatch the request that waits longest in an occupant's queue."""
        routed = occupant.queued.pop(0)
        self._note_dispatch(routed)
        attempt_id = AttemptId(routed.request_id)
        planned = AttemptPlanned(
            attempt_id, RunnerId("runner"), routed, routed.deadline_ms
        )
        self.handle_message(occupant, planned)
        self.handle_message(occupant, AnswerHead(attempt_id, 200, "text/plain"))
        answer = answer_to(routed.request_id)
        self.handle_message(occupant, AttemptChunk(attempt_id, answer, 0, 0))
        ended = RequestEnded(replace(routed, attempts_started=1), outcome, None)
        self.handle_message(occupant, ended)

    def expire(self, occupant: Occupant) -> None:
        """Refuse a queued request as not run, as when its deadline passes."""
        routed = occupant.queued.pop(0)
        self._note_not_run(routed.request_id)
        self.handle_message(occupant, RequestEnded(routed, RunOutcome.NOT_RUN, None))

    def run_all(self) -> None:
        """Dispatch everything that is queued anywhere."""
        for occupant in tuple(self.occupants):
            while occupant.queued:
                self.run(occupant)

    def count_dispatches(self, key: IdempotencyKey) -> int:
        """Return how often the key was sent to a runner."""
        return len(self.histories_by_key[key].dispatches)

    def _note_dispatch(self, routed: RoutedRequest) -> None:
        key = routed.request.key
        assert key is not None
        history = self.histories_by_key[key]
        if history.dispatches:
            self.faults.append(f"{key} was dispatched twice")
        arrived = history.arrivals[routed.request_id]
        if any(refused > arrived for refused in history.refusals_not_run):
            self.faults.append(f"{key} ran after it was answered as not run")
        history.dispatches.append(self._events)
        history.answer = answer_to(routed.request_id)

    def _note_answer(self, request_id: RequestId, data: bytes) -> None:
        self.answers_by_request[request_id] = data
        for key, history in self.histories_by_key.items():
            if request_id in history.arrivals and data != history.answer:
                self.faults.append(f"{key} got the answer to another key")

    def _note_not_run(self, request_id: RequestId) -> None:
        for key, history in self.histories_by_key.items():
            if request_id in history.arrivals:
                history.refusals_not_run.append(self._events)
                if history.dispatches:
                    self.faults.append(f"{key} was answered as not run after it ran")
