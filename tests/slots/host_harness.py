"""Harness for one host with the slot filters, driven message by message."""

import random
from collections.abc import Sequence
from typing import Any

from figshunt.codec import decode_peer_message, encode_peer_message
from figshunt.control import RunnerFilter
from figshunt.pipeline import Output, Pipeline
from figshunt.policy import LeastLoaded
from figshunt.slots import SlotFilter
from figshunt.types import (
    AttemptEnded,
    AttemptFailed,
    AttemptPlanned,
    CapacityRequested,
    Effect,
    Heartbeat,
    LoanedSlots,
    ManualClock,
    Message,
    Moment,
    PeerMessage,
    PeerReceived,
    PoolName,
    RequestReleased,
    RevisionNumber,
    RoutedRequest,
    RunnerId,
    SeatNumber,
    SendPeer,
    SlotLoan,
    SlotRequest,
    SlotRequestId,
    StartIdentity,
    Step,
    TablesInForce,
    TeamName,
    Tier,
    TimerDue,
)
from tests.builders import (
    build_load_reported,
    build_pool,
    build_request,
    build_route,
    build_tables,
)
from tests.slots.cell_simulation import POOL
from tests.stub_views import StubSeats, StubTables

RUNNER = RunnerId("engines-1")


class SlotHostHarness:
    """Collects the output of the filters under test."""

    step = Step.ATTEMPT
    accepts: tuple[type[Message], ...] = (AttemptPlanned, AttemptFailed)

    def __init__(
        self, seats: int = 5, runners: int = 1, max_run_ms: int = 4_000, **pool: Any
    ) -> None:
        self.clock = ManualClock()
        self.route = build_route(max_run_ms=max_run_ms, deadline_ms=100_000)
        self.pool = build_pool(
            runners=runners, **({"limit": 20, "cold_limit": 10} | pool)
        )
        self.seats = StubSeats(0, seats)
        self.tables = StubTables()
        self.runners = RunnerFilter(self.tables, self.seats)
        chooser = LeastLoaded(random.Random(1))
        self.slots = SlotFilter(self.tables, self.runners, self.seats, chooser)
        self.pipeline = Pipeline([self.runners, self.slots, self])
        self.planned: list[AttemptPlanned] = []
        self.failed: list[AttemptFailed] = []
        self.effects: list[Effect] = []
        self.number = 0
        self.apply_tables(1)

    @property
    def now(self) -> Moment:
        return self.clock.now()

    def apply_tables(self, revision: int, **pool: Any) -> None:
        self.tables.tables = build_tables(
            revision,
            routes=[self.route],
            pools=[self.pool | pool],
        )
        self.handle_message(TablesInForce(self.tables.tables))

    def process(self, message: Message, now: Moment) -> Sequence[Output]:
        if isinstance(message, AttemptPlanned):
            self.planned.append(message)
        elif isinstance(message, AttemptFailed):
            self.failed.append(message)
        return []

    def handle_message(self, message: Message) -> list[Effect]:
        effects = self.pipeline.handle(message, self.now)
        self.effects += effects
        return effects

    def receive(self, seat: int, message: PeerMessage) -> list[Any]:
        """Deliver a message from a peer; return the messages sent in response."""
        self.seats.last_contact_ms_by_seat[SeatNumber(seat)] = self.now.monotonic_ms
        message = decode_peer_message(encode_peer_message(message))
        effects = self.handle_message(PeerReceived(SeatNumber(seat), message))
        return [effect.message for effect in effects if isinstance(effect, SendPeer)]

    def advance(
        self, duration_ms: int, peers: int = 4, report: bool = True, **load: Any
    ) -> list[Any]:
        """Advance time with heartbeats and reports; return the messages sent."""
        first_new_effect = len(self.effects)
        for _ in range(duration_ms // 250):
            self.clock.advance(250)
            for seat in range(1, 1 + min(peers, len(self.seats.seats) - 1)):
                self.receive(seat, Heartbeat(RevisionNumber(1), False, False))
            if report:
                self.handle_message(build_load_reported(**load))
            self.handle_message(TimerDue())
        new_effects = self.effects[first_new_effect:]
        return [
            effect.message for effect in new_effects if isinstance(effect, SendPeer)
        ]

    def start(self, max_attempts: int = 100) -> int:
        """Start attempts while there are free slots; return their number."""
        started = 0
        route = next(iter(self.tables.tables.routes_by_name.values()))  # type: ignore
        while started < max_attempts and self.slots.has_free_slot(POOL, self.now):
            self.number += 1
            started += 1
            request = build_request(self.now, self.number)
            deadline_ms = self.now.monotonic_ms + route.deadline_ms
            routed = RoutedRequest(request, TeamName("a"), route, deadline_ms)
            self.handle_message(RequestReleased(routed))
        return started

    def end(self, planned: AttemptPlanned) -> list[Any]:
        ended = AttemptEnded(
            planned.attempt_id, planned.runner_id, planned.routed, 0, 0, None
        )
        effects = self.handle_message(ended)
        return [effect.message for effect in effects if isinstance(effect, SendPeer)]

    def request_capacity(self, waiting: int = 3, tier: int = 2) -> list[SlotRequest]:
        """Report waiting requests; return the slot requests sent to peers."""
        effects = self.handle_message(CapacityRequested(POOL, Tier(tier), waiting))
        sent = [effect.message for effect in effects if isinstance(effect, SendPeer)]
        return [message for message in sent if isinstance(message, SlotRequest)]


def build_loan(
    request_id: SlotRequestId, loan: int = 1, count: int = 3, **changes: Any
) -> SlotLoan:
    """Build a loan of slots of the runner, made for its first start."""
    window_ms = changes.pop("window_ms", 2_000)
    values = {"start": StartIdentity("start-1"), "base": 0} | changes
    return SlotLoan(
        request_id, window_ms, (LoanedSlots(loan, RUNNER, count, **values),)
    )


def build_slot_request(
    number: int = 1, tier: int = 2, wanted: int = 8, lease_ms: int = 6_000
) -> SlotRequest:
    """Build a slot request of a peer."""
    request_id = SlotRequestId(77, number)
    return SlotRequest(request_id, PoolName(POOL), Tier(tier), wanted, lease_ms)
