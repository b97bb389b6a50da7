"""Several entry hosts before simulated engines, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from figshunt.directory import (
    Configuration,
    ConfigurationPublished,
    PublishedRoute,
    PublishedRunner,
    RunnerListed,
    SourceStateChanged,
)
from figshunt.dispatch import (
    AnswerAbort,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    BroadcastStatus,
    CallAbandoned,
    CallArrived,
    CancelCallAttempt,
    DispatchCore,
    OccupancyNotice,
    PeerStatusReceived,
    ReplyComplete,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
    ReplyVerdict,
    SharedBounds,
    StartCallAttempt,
)
from figshunt.pipeline import WakeQueue
from figshunt.types import (
    AttemptId,
    DataCentreName,
    Effect,
    HostName,
    ManualClock,
    Message,
    Moment,
    RequestId,
    RunnerId,
    TimerDue,
    WakeAt,
)
from tests.builders import (
    build_call,
    build_host_status,
    build_prompt,
    build_reply_head,
)

START_MS = 100_000
TIMER_INTERVAL_MS = 100
NOTICE_DELAY_MS = 30
HEARTBEAT_INTERVAL_MS = 500
PREFILL_CHUNK_TOKENS = 2048
PREFILL_TOKENS_PER_MS = 45.0
STEP_MS = 5.0
STEP_MS_PER_REQUEST = 0.03

# An engine refuses requests while this many wait.
MAX_WAITING = 192

# Callers return after a refusal if the pause is at most this share of their time left.
MAX_RETURN_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class CallShape:
    """The requests of one route; ``prompt_tokens`` includes the shared part."""

    route: PublishedRoute
    prompt_tokens: int
    shared_tokens: int
    output_tokens: int
    patience_ms: int


@dataclass(slots=True)
class VirtualCall:
    """One request and what became of it; times are in virtual milliseconds."""

    shape: CallShape
    sent_ms: int
    may_return: bool
    begun_ms: int | None = None
    first_event_ms: int | None = None
    ended_ms: int | None = None
    is_complete: bool = False
    is_refused: bool = False
    preemptions: int = 0


@dataclass(slots=True)
class EngineRun:
    """A request at an engine, with the tokens that it still has to process."""

    attempt: StartCallAttempt
    call: VirtualCall
    host: int
    order: int
    unread_tokens: int
    generated_tokens: int = 0

    @property
    def memory_tokens(self) -> int:
        return self.call.shape.prompt_tokens + self.generated_tokens


@dataclass(slots=True)
class VirtualEngine:
    """Continuous batching with slots, memory and preemption by priority."""

    runner: PublishedRunner
    kv_tokens: int
    waiting: list[EngineRun] = field(default_factory=list)
    running: list[EngineRun] = field(default_factory=list)
    cached_parts: set[str] = field(default_factory=set)
    is_stepping: bool = False

    def admit_waiting(self) -> None:
        """Admit waiting runs by priority; preempt the newest of the least urgent."""
        self.waiting.sort(key=lambda run: (run.attempt.priority, run.order))
        while self.waiting:
            candidate = self.waiting[0]
            if not self._has_room(candidate):
                victim = max(
                    self.running, key=lambda run: (run.attempt.priority, run.order)
                )
                if victim.attempt.priority <= candidate.attempt.priority:
                    return
                self._preempt(victim)
                continue
            self.running.append(self.waiting.pop(0))

    def take_chunk(self) -> int:
        """Read prompt tokens of the runs in their order, and return how many."""
        budget = PREFILL_CHUNK_TOKENS
        for run in self.running:
            tokens = min(budget, run.unread_tokens)
            run.unread_tokens -= tokens
            budget -= tokens
        return PREFILL_CHUNK_TOKENS - budget

    def _has_room(self, candidate: EngineRun) -> bool:
        used_tokens = sum(run.memory_tokens for run in self.running)
        return not self.running or (
            len(self.running) < self.runner.slots
            and used_tokens + candidate.memory_tokens <= self.kv_tokens
        )

    def _preempt(self, victim: EngineRun) -> None:
        self.running.remove(victim)
        victim.unread_tokens = victim.memory_tokens
        victim.call.preemptions += 1
        self.waiting.append(victim)


class VirtualHosts:
    """Drives the cores of several hosts and simulates engines and callers."""

    def __init__(
        self,
        host_count: int,
        runners: Iterable[PublishedRunner],
        configuration: Configuration,
        seed: int = 1,
    ) -> None:
        self.calls: list[VirtualCall] = []
        self.engines_by_id: dict[RunnerId, VirtualEngine] = {}
        self._random = random.Random(seed)
        self._clock = ManualClock(Moment(START_MS, 0))
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._calls_by_id: dict[RequestId, VirtualCall] = {}
        self._runs_by_attempt: dict[AttemptId, EngineRun] = {}
        self._waiting_notices: list[list[OccupancyNotice]] = [
            [] for _ in range(host_count)
        ]
        self._wakes = [WakeQueue() for _ in range(host_count)]
        self._cores = [
            DispatchCore(
                HostName(f"h{number}"),
                DataCentreName("a"),
                SharedBounds(),
                random.Random(seed * 1_000 + number),
            )
            for number in range(host_count)
        ]
        for host in range(host_count):
            self._handle(host, SourceStateChanged(True, "virtual"))
            self._handle(host, ConfigurationPublished(1, configuration))
        for runner in runners:
            engine_limits = configuration.pools_by_name[runner.pool].engine
            assert engine_limits is not None
            self.engines_by_id[runner.runner_id] = VirtualEngine(
                runner, engine_limits.kv_tokens
            )
            for host in range(host_count):
                self._handle(host, RunnerListed(2, runner.runner_id, runner))
        for host in range(host_count):
            self._tell(host, BroadcastStatus())
            self._run_timer(host)
            self._run_heartbeat(host)

    @property
    def now_ms(self) -> int:
        """Return the time since the start."""
        return self._clock.now().monotonic_ms - START_MS

    def schedule_calls(
        self, shape: CallShape, per_s: float, from_ms: int, until_ms: int
    ) -> None:
        """Schedule calls at random times, at hosts drawn at random."""
        time_ms = from_ms + self._random.expovariate(per_s / 1_000)
        while time_ms < until_ms:
            self._schedule(time_ms, lambda: self._send_call(shape, may_return=True))
            time_ms += self._random.expovariate(per_s / 1_000)

    def run(self, until_ms: int) -> None:
        """Advance the virtual time."""
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self._clock.advance(time_ms - self.now_ms)
            action()

    def _schedule(self, time_ms: float, action: Callable[[], None]) -> None:
        event = (max(self.now_ms, round(time_ms)), next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _handle(self, host: int, message: Message) -> None:
        for effect in self._cores[host].handle(message, self._clock.now()):
            self._apply(host, effect)

    def _run_timer(self, host: int) -> None:
        self._handle(host, TimerDue())
        self._schedule(self.now_ms + TIMER_INTERVAL_MS, lambda: self._run_timer(host))

    def _run_heartbeat(self, host: int) -> None:
        if self._waiting_notices[host]:
            self._tell(host, BroadcastStatus())
        self._schedule(
            self.now_ms + HEARTBEAT_INTERVAL_MS, lambda: self._run_heartbeat(host)
        )

    def _send_call(self, shape: CallShape, may_return: bool) -> None:
        number = next(self._numbers)
        host = self._random.randrange(len(self._cores))
        virtual_call = VirtualCall(shape, self.now_ms, may_return)
        self.calls.append(virtual_call)
        # Twenty shared parts for each route, so that engines cache some of them.
        shared_name = f"{shape.route.name}-{number % 20}"
        call = build_call(
            f"r{number}",
            f"{shape.route.path_prefix}1",
            prompt=build_prompt(
                shape.prompt_tokens,
                (shared_name, shape.shared_tokens),
                name=f"own-{number}",
                output_tokens=shape.output_tokens,
            ),
            time_limit_ms=shape.route.timeout_ms,
            received=self._clock.now(),
        )
        self._calls_by_id[call.call_id] = virtual_call
        self._schedule(
            self.now_ms + shape.patience_ms,
            lambda: self._abandon_without_event(host, call.call_id),
        )
        self._schedule(
            self.now_ms + shape.route.timeout_ms,
            lambda: self._abandon(host, call.call_id),
        )
        self._handle(host, CallArrived(call))

    def _abandon_without_event(self, host: int, call_id: RequestId) -> None:
        if self._calls_by_id[call_id].first_event_ms is None:
            self._abandon(host, call_id)

    def _abandon(self, host: int, call_id: RequestId) -> None:
        virtual_call = self._calls_by_id[call_id]
        if virtual_call.ended_ms is None:
            virtual_call.ended_ms = self.now_ms
            self._handle(host, CallAbandoned(call_id))

    def _apply(self, host: int, effect: Effect) -> None:
        match effect:
            case StartCallAttempt():
                self._start_run(host, effect)
            case CancelCallAttempt(attempt_id):
                self._remove_run(attempt_id)
            case BroadcastStatus():
                self._tell(host, effect)
            case WakeAt(monotonic_ms):
                self._wakes[host].add(monotonic_ms)
                self._schedule(monotonic_ms - START_MS, lambda: self._wake(host))
            case AnswerEvent(call_id):
                virtual_call = self._calls_by_id[call_id]
                if virtual_call.first_event_ms is None:
                    virtual_call.first_event_ms = self.now_ms
            case AnswerEnd(call_id):
                self._calls_by_id[call_id].ended_ms = self.now_ms
                self._calls_by_id[call_id].is_complete = True
            case AnswerAbort(call_id):
                self._calls_by_id[call_id].ended_ms = self.now_ms
            case AnswerError():
                self._end_refused(effect)

    def _wake(self, host: int) -> None:
        if self._wakes[host].pop_due(self._clock.now().monotonic_ms):
            self._handle(host, TimerDue())

    def _end_refused(self, error: AnswerError) -> None:
        virtual_call = self._calls_by_id[error.call_id]
        virtual_call.ended_ms = self.now_ms
        virtual_call.is_refused = error.status == 503
        pause_ms = error.retry_after_ms or 0
        left_ms = virtual_call.sent_ms + virtual_call.shape.route.timeout_ms
        left_ms -= self.now_ms
        if virtual_call.may_return and pause_ms <= left_ms * MAX_RETURN_SHARE:
            self._schedule(
                self.now_ms + pause_ms,
                lambda: self._send_call(virtual_call.shape, may_return=False),
            )

    def _tell(self, host: int, effect: BroadcastStatus) -> None:
        self._waiting_notices[host].extend(effect.occupancies)
        if effect.can_wait:
            return
        fields = {name: getattr(effect, name) for name in effect.__dataclass_fields__}
        del fields["can_wait"], fields["is_urgent"]
        fields["occupancies"] = tuple(self._waiting_notices[host])
        fields["held"] = self._cores[host].placement.held_notices()
        self._waiting_notices[host] = []
        status = build_host_status(f"h{host}", **fields)
        for other in range(len(self._cores)):
            if other != host:
                self._schedule(
                    self.now_ms + NOTICE_DELAY_MS,
                    lambda other=other: self._handle(other, PeerStatusReceived(status)),
                )

    def _start_run(self, host: int, attempt: StartCallAttempt) -> None:
        engine = self.engines_by_id[attempt.runner_id]
        if len(engine.waiting) >= MAX_WAITING:
            head = build_reply_head(503, verdict=ReplyVerdict.REFUSED)
            self._schedule(
                self.now_ms + 2,
                lambda: self._handle(
                    host, ReplyComplete(attempt.attempt_id, head, b"")
                ),
            )
            return
        assert attempt.call.prompt is not None
        shared_part = attempt.call.prompt.parts[0]
        is_cached = shared_part.part_id in engine.cached_parts
        engine.cached_parts.add(shared_part.part_id)
        run = EngineRun(
            attempt,
            self._calls_by_id[attempt.call.call_id],
            host,
            next(self._numbers),
            attempt.call.prompt.input_tokens - is_cached * shared_part.tokens,
        )
        self._runs_by_attempt[attempt.attempt_id] = run
        engine.waiting.append(run)
        if not engine.is_stepping:
            engine.is_stepping = True
            self._step(engine)

    def _remove_run(self, attempt_id: AttemptId) -> None:
        run = self._runs_by_attempt.pop(attempt_id, None)
        if run is None:
            return
        engine = self.engines_by_id[run.attempt.runner_id]
        for runs in (engine.waiting, engine.running):
            if run in runs:
                runs.remove(run)

    def _step(self, engine: VirtualEngine) -> None:
        """Run one step of an engine, and schedule its end."""
        engine.admit_waiting()
        if not engine.running:
            engine.is_stepping = False
            return
        prefill_ms = engine.take_chunk() / PREFILL_TOKENS_PER_MS
        step_ms = STEP_MS + STEP_MS_PER_REQUEST * len(engine.running) + prefill_ms
        decoding_runs = [run for run in engine.running if not run.unread_tokens]
        self._schedule(
            self.now_ms + step_ms, lambda: self._end_step(engine, decoding_runs)
        )

    def _end_step(self, engine: VirtualEngine, runs: list[EngineRun]) -> None:
        for run in runs:
            if run in engine.running:
                self._generate_token(run)
        self._step(engine)

    def _generate_token(self, run: EngineRun) -> None:
        attempt_id = run.attempt.attempt_id
        run.generated_tokens += 1
        if run.generated_tokens == 1:
            if run.call.begun_ms is None:
                run.call.begun_ms = self.now_ms
            head = build_reply_head(is_stream=True)
            self._handle(run.host, ReplyStarted(attempt_id, head))
        # Fewer events than a real engine sends, which saves most of the time.
        is_last = run.generated_tokens >= run.call.shape.output_tokens
        if run.generated_tokens % 20 == 1 or is_last:
            event_id = run.generated_tokens
            self._handle(run.host, ReplyEvent(attempt_id, event_id, b"data\n\n"))
        if is_last:
            self._remove_run(attempt_id)
            self._handle(run.host, ReplyEnded(attempt_id))


def find_overtaken_share(
    calls: Iterable[VirtualCall], window_ms: int = 5_000
) -> dict[str, float]:
    """Return the highest share of calls, by route, that were overtaken and unserved.

    A call counts if it got nothing and a less urgent one of more than twice its size
    that was sent later began before it ended. The share is that of all calls of the
    route that were sent within the window.
    """
    by_route: dict[str, list[VirtualCall]] = {}
    all_calls = list(calls)
    for call in all_calls:
        by_route.setdefault(call.shape.route.name, []).append(call)
    shares: dict[str, float] = {}
    for name, route_calls in by_route.items():
        overtaken = [call for call in route_calls if _is_overtaken(call, all_calls)]
        starts_ms = range(0, max(call.sent_ms for call in route_calls) + 1, 500)
        shares[name] = 0.0
        for start_ms in starts_ms:
            window = range(start_ms, start_ms + window_ms)
            sent = sum(call.sent_ms in window for call in route_calls)
            hit = sum(call.sent_ms in window for call in overtaken)
            if hit >= 10:
                shares[name] = max(shares[name], hit / sent)
    return shares


def _is_overtaken(call: VirtualCall, others: Iterable[VirtualCall]) -> bool:
    if call.first_event_ms is not None or call.ended_ms is None:
        return False
    return any(
        other.shape.route.urgency > call.shape.route.urgency
        and other.shape.prompt_tokens > 2 * call.shape.prompt_tokens
        and other.begun_ms is not None
        and call.sent_ms < other.sent_ms
        and other.begun_ms < call.ended_ms
        for other in others
    )
