"""Simulation in virtual time: hosts with the slot filters, runners and network."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from figshunt.codec import decode_peer_message, encode_peer_message
from figshunt.control import RunnerFilter, ramp_up_limit
from figshunt.pipeline import Output, Pipeline
from figshunt.policy import LeastLoaded
from figshunt.slots import SlotFilter
from figshunt.types import (
    AttemptEnded,
    AttemptFailed,
    AttemptId,
    AttemptPlanned,
    CancelAttempt,
    CapacityRequested,
    ClockJumped,
    ColdEvidence,
    Heartbeat,
    Message,
    Moment,
    PeerMessage,
    PeerReceived,
    PoolName,
    RequestCancelled,
    RequestId,
    RequestReleased,
    RevisionNumber,
    RoutedRequest,
    RouteName,
    RunnerId,
    RunnerUnreachable,
    SeatNumber,
    SendPeer,
    StartIdentity,
    Step,
    TablesInForce,
    TeamName,
    TimerDue,
    WakeAt,
)
from tests.builders import (
    build_load_reported,
    build_pool,
    build_request,
    build_route,
    build_tables,
)
from tests.stub_views import StubSeats, StubTables

POOL = PoolName("engines")
# Freshness of a report plus the upper bound of its transit time.
EVIDENCE_MS = 4_000


class Host:
    """One occupant of a seat, with the filters under test."""

    step = Step.ATTEMPT
    accepts: tuple[type[Message], ...] = (AttemptPlanned, AttemptFailed)

    def __init__(self, cell: "Cell", seat: int) -> None:
        self.cell = cell
        self.offset_ms = cell.random.randrange(1_000_000)
        self.seats = StubSeats(seat, cell.seats)
        self.tables = StubTables(cell.tables)
        self.runners = RunnerFilter(self.tables, self.seats)
        self.slots = SlotFilter(
            self.tables, self.runners, self.seats, LeastLoaded(cell.random)
        )
        self.pipeline = Pipeline([self.runners, self.slots, self])
        self.attempts: dict[AttemptId, AttemptPlanned] = {}
        self.arrivals_ms: deque[int] = deque()
        self.waits_ms: list[int] = []
        self.wakes: set[int] = set()
        self.is_dead = self.is_isolated = False
        self.backlog: list[Message] | None = None
        self.handle_message(TablesInForce(cell.tables))

    @property
    def now(self) -> Moment:
        return Moment(
            self.cell.now_ms + self.offset_ms, 1_800_000_000_000 + self.cell.now_ms
        )

    def handle_message(self, message: Message) -> None:
        if self.is_dead:
            return
        if self.backlog is not None:
            self.backlog.append(message)
            return
        if isinstance(message, PeerReceived):
            self.seats.last_contact_ms_by_seat[message.seat] = self.now.monotonic_ms
        self.handle(message)
        while self.arrivals_ms and self.slots.has_free_slot(POOL, self.now):
            self.waits_ms.append(self.cell.now_ms - self.arrivals_ms.popleft())
            self.handle(RequestReleased(self.cell.build_routed_request(self.now)))
        waiting = len(self.arrivals_ms)
        if waiting and self.cell.lends and not isinstance(message, TimerDue):
            self.handle(CapacityRequested(POOL, self.cell.route.tier, waiting))

    def add_requests(self, requests: int = 1) -> None:
        """Add new requests; those without a free slot wait."""
        self.arrivals_ms.extend([self.cell.now_ms] * requests)
        self.handle_message(RequestCancelled(RequestId("none")))

    def handle(self, message: Message) -> None:
        for effect in self.pipeline.handle(message, self.now):
            if isinstance(effect, SendPeer):
                self.cell.send(self, effect.seat, effect.message)
            elif isinstance(effect, WakeAt):
                if effect.monotonic_ms not in self.wakes:
                    self.wakes.add(effect.monotonic_ms)
                    wait_ms = max(1, effect.monotonic_ms - self.now.monotonic_ms)
                    self.cell.after(wait_ms, self.wake, effect.monotonic_ms)
            elif isinstance(effect, CancelAttempt):
                self.cell.drop_attempt(effect.attempt_id)

    def wake(self, due_ms: int) -> None:
        self.wakes.discard(due_ms)
        self.handle_message(TimerDue())

    def process(self, message: Message, now: Moment) -> "list[Output]":
        if isinstance(message, AttemptPlanned):
            self.attempts[message.attempt_id] = message
            self.cell.start_attempt(self, message)
        elif isinstance(message, AttemptFailed):
            self.cell.after(0, self.end, message.attempt_id)
        return []

    def end(self, attempt_id: AttemptId) -> None:
        planned = self.attempts.pop(attempt_id, None)
        if planned is not None:
            self.cell.drop_attempt(attempt_id)
            ended = AttemptEnded(
                attempt_id, planned.runner_id, planned.routed, 0, 0, None
            )
            self.handle_message(ended)

    def pause(self, gap_ms: int) -> None:
        if self.backlog is None:
            self.backlog = []
            self.cell.after(gap_ms, self.resume, gap_ms)

    def resume(self, gap_ms: int) -> None:
        backlog, self.backlog = self.backlog or [], None
        self.handle_message(ClockJumped(gap_ms))
        for message in backlog:
            self.handle_message(message)


class Runner:
    """Simulated runner with its actual load.

    ``in_flight`` holds attempts from when a host starts them, ``received_attempts``
    from when they reach the runner.
    """

    def __init__(self, cell: "Cell", runner_id: RunnerId) -> None:
        self.cell = cell
        self.runner_id = runner_id
        self.starts = 0
        self.completed = 0
        self.cold_since_ms = -EVIDENCE_MS
        self.in_flight: dict[AttemptId, tuple[Host, int]] = {}
        self.received_attempts: set[AttemptId] = set()

    def restart(self) -> None:
        self.starts += 1
        self.completed = 0
        self.cold_since_ms = self.cell.now_ms
        hosts = {id(host): host for host, _ in self.in_flight.values()}
        for attempt_id, (host, _) in tuple(self.in_flight.items()):
            self.cell.after(self.cell.random.randrange(1, 300), host.end, attempt_id)
        self.in_flight.clear()
        self.received_attempts.clear()
        reset = RunnerUnreachable(self.runner_id, ColdEvidence.CONNECTION_RESET)
        for host in hosts.values():
            self.cell.after(
                self.cell.random.randrange(1, 300), host.handle_message, reset
            )

    def report(self) -> None:
        load = build_load_reported(
            self.runner_id,
            self.completed,
            start=StartIdentity(f"start-{self.starts}"),
            running=len(self.received_attempts),
        )
        for host in self.cell.hosts:
            if self.cell.random.random() < self.cell.report_share:
                self.cell.after(
                    self.cell.random.randrange(1, 300), host.handle_message, load
                )
        self.cell.after(250, self.report)


class Cell:
    """Event loop, network and faults; checks the runner's limit at each start."""

    def __init__(
        self, seed: int, seats: int = 5, runners: int = 2, **pool: Any
    ) -> None:
        self.random = random.Random(seed)
        self.seats = seats
        self.now_ms = 0
        self.events: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count()
        self.cut: set[frozenset[int]] = set()
        # Rates are probabilities per message; the delay is added to the usual one.
        self.loss_rate = self.duplicate_rate = self.max_delay_ms = 0.0
        self.report_share = 1.0
        self.lends = True
        self.messages = self.warm_excess = 0
        self.limit_violations: list[str] = []
        values: dict[str, Any] = {"limit": 40, "cold_limit": 3} | pool
        self.tables = build_tables(
            routes=[build_route(max_run_ms=4_000)],
            pools=[build_pool(runners=runners, **values)],
        )
        self.route = self.tables.routes_by_name[RouteName("chat")]
        self.runners = {
            runner_id: Runner(self, runner_id)
            for runner_id in self.tables.runners_by_id
        }
        self.hosts = [Host(self, seat) for seat in range(seats)]
        for runner in self.runners.values():
            runner.report()
        self.send_heartbeats()

    @property
    def started(self) -> int:
        """Return how many attempts all hosts have started."""
        return sum(len(host.waits_ms) for host in self.hosts)

    def after(self, wait_ms: float, call: Callable[..., None], *values: Any) -> None:
        due_ms = self.now_ms + int(wait_ms)
        heapq.heappush(self.events, (due_ms, next(self.order), call, values))

    def run(self, duration_ms: int) -> None:
        end_ms = self.now_ms + duration_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, call, values = heapq.heappop(self.events)
            call(*values)
        self.now_ms = end_ms

    def build_routed_request(self, now: Moment) -> RoutedRequest:
        request = build_request(now, next(self.order))
        deadline_ms = now.monotonic_ms + 20_000
        return RoutedRequest(request, TeamName("team-a"), self.route, deadline_ms)

    def send_heartbeats(self) -> None:
        heartbeat = Heartbeat(RevisionNumber(1), False, False)
        for host in self.hosts:
            for seat in host.seats.seats:
                if seat != host.seats.own_seat and host.backlog is None:
                    self.send(host, seat, heartbeat)
        self.after(500, self.send_heartbeats)

    def send(self, sender: Host, seat: SeatNumber, message: PeerMessage) -> None:
        is_heartbeat = isinstance(message, Heartbeat)
        self.messages += not is_heartbeat
        pair = frozenset((int(sender.seats.own_seat), int(seat)))
        if sender.is_isolated or sender.is_dead or pair in self.cut:
            return
        copies = (self.random.random() >= self.loss_rate) + (
            self.random.random() < self.duplicate_rate
        )
        decoded = decode_peer_message(encode_peer_message(message))
        received = PeerReceived(sender.seats.own_seat, decoded)
        for _ in range(copies):
            delay_ms = self.random.uniform(1, 20)
            if not is_heartbeat and self.random.random() < 0.2:
                delay_ms += self.random.uniform(0, self.max_delay_ms)
            self.after(delay_ms, self.deliver, seat, received)

    def deliver(self, seat: SeatNumber, received: PeerReceived) -> None:
        for host in self.hosts:
            if host.seats.own_seat == seat and not host.is_isolated:
                host.handle_message(received)

    def start_attempt(self, host: Host, planned: AttemptPlanned) -> None:
        runner = self.runners[planned.runner_id]
        attempt_id = planned.attempt_id
        runner.in_flight[attempt_id] = (host, self.now_ms)
        duration_ms = self.random.uniform(50, self.route.max_run_ms - 100)
        self.after(self.random.uniform(1, 50), self.receive_attempt, runner, attempt_id)
        self.after(duration_ms + 50, self.complete, runner, attempt_id)
        lease_ms = planned.lease_ends_ms - host.now.monotonic_ms
        self.after(max(lease_ms, 0), host.end, attempt_id)
        self.check_limit(runner)

    def check_limit(self, runner: Runner) -> None:
        """Record a violation if a runner that isn't warm exceeds its limit.

        Only attempts started since all hosts know of the cold evidence count. An
        excess on a warm runner is recorded in ``warm_excess`` and is no violation.
        """
        pool = self.tables.pools_by_name[POOL]
        since_ms = runner.cold_since_ms + EVIDENCE_MS
        recent_count = sum(
            started >= since_ms for _, started in runner.in_flight.values()
        )
        limit = ramp_up_limit(pool, runner.completed)
        if recent_count > limit and limit == pool.limit:
            self.warm_excess = max(self.warm_excess, recent_count - limit)
        elif recent_count > limit:
            self.limit_violations.append(
                f"{self.now_ms} ms: {recent_count} on limit {limit}"
            )

    def receive_attempt(self, runner: Runner, attempt_id: AttemptId) -> None:
        if attempt_id in runner.in_flight:
            runner.received_attempts.add(attempt_id)

    def complete(self, runner: Runner, attempt_id: AttemptId) -> None:
        if attempt_id in runner.in_flight:
            host, _ = runner.in_flight.pop(attempt_id)
            runner.received_attempts.discard(attempt_id)
            runner.completed += 1
            self.after(self.random.uniform(1, 50), host.end, attempt_id)

    def drop_attempt(self, attempt_id: AttemptId) -> None:
        for runner in self.runners.values():
            runner.in_flight.pop(attempt_id, None)
            runner.received_attempts.discard(attempt_id)

    def replace_host(
        self, seat: int, old_stays_alive: bool, runners_abort_attempts: bool
    ) -> None:
        """Replace the host in a seat by a new one without state.

        The old host either stays alive without a connection to its peers, or is
        dead. The runners may abort the attempts of a dead host or complete them.
        """
        old = next(
            host
            for host in self.hosts
            if host.seats.own_seat == seat and not (host.is_dead or host.is_isolated)
        )
        old.is_isolated = True
        if not old_stays_alive:
            old.is_dead = True
            for attempt_id in tuple(old.attempts) if runners_abort_attempts else ():
                self.drop_attempt(attempt_id)
        self.hosts.append(Host(self, seat))
