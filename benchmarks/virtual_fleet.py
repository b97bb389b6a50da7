"""A core and small fakes of its runners in virtual time."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from figshunt.core import Core
from figshunt.pipeline import WakeQueue
from figshunt.policy import PolicyBuilder, TieredFair
from figshunt.types import (
    AnswerHead,
    AttemptChunk,
    AttemptFinished,
    AttemptId,
    CancelAttempt,
    CancelReason,
    CapacityRequested,
    EndAnswer,
    FailAnswer,
    HostName,
    ManualClock,
    Message,
    Moment,
    PreemptionRequested,
    RequestArrived,
    RequestId,
    RequestReleased,
    RunnerChanged,
    SeatNumber,
    SendAnswer,
    StartAttempt,
    TimerDue,
    WakeAt,
)
from tests.builders import (
    build_load_reported,
    build_request_arrived,
    build_tables_received,
)

CHUNK_TOKENS = 8
REPORT_INTERVAL_MS = 1_000


@dataclass(slots=True)
class Outcome:
    """What became of one request; times are virtual milliseconds."""

    arrival: RequestArrived
    team: str
    tokens: int
    prompt_tokens: int
    started_ms: int | None = None
    first_token_ms: int | None = None
    ended_ms: int | None = None
    failure: FailAnswer | None = None
    delivered: int = 0
    generated: int = 0
    preemptions: int = 0

    @property
    def is_whole(self) -> bool:
        return self.ended_ms is not None and self.failure is None


@dataclass(slots=True)
class RunningAttempt:
    start: StartAttempt
    offset: int


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """Time per token grows with the batch; a prompt is read once an attempt."""

    token_ms: float = 4.0
    token_ms_per_request: float = 2.0
    prefill_ms_per_token: float = 0.02


@dataclass
class VirtualFleet:
    """Feeds a :class:`Core` and plays the runners of its tables."""

    tables: dict[str, Any]
    build_policy: PolicyBuilder = TieredFair
    times: EngineTimes = EngineTimes()
    seed: int = 1
    clock: ManualClock = field(default_factory=ManualClock)
    outcomes: dict[RequestId, Outcome] = field(default_factory=dict)
    attempts: dict[AttemptId, RunningAttempt] = field(default_factory=dict)
    on_effect: Callable[[Any], None] | None = None
    scheduled: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        seat = SeatNumber(0)
        self.core = Core(
            HostName("host-0"),
            seat,
            (seat,),
            random.Random(self.seed),
            self.build_policy,
        )
        self._process = self.core.schedule.process
        self.core.schedule.process = self._record  # type: ignore[method-assign]
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._wakes = WakeQueue()
        self._numbers = itertools.count(1)
        self._running_by_runner: Counter[str] = Counter()
        received = build_tables_received(**self.tables)
        self.handle_message(received)
        self._runner_ids = tuple(received.tables.runners_by_id)
        self._report()

    @property
    def now_ms(self) -> int:
        return self.clock.now().monotonic_ms

    def submit(
        self, route: str, tokens: int, team: str = "team-a", prompt_tokens: int = 0
    ) -> Outcome:
        """Let a request arrive now; the caller key is the name of its team."""
        arrival = build_request_arrived(
            self.clock.now(), next(self._numbers), route=route, caller_key=team
        )
        outcome = Outcome(arrival, team, tokens, prompt_tokens)
        self.outcomes[arrival.request.request_id] = outcome
        self.handle_message(arrival)
        return outcome

    def at(self, time_ms: float, action: Callable[[], object]) -> None:
        """Do something at a virtual time."""
        event = (max(self.now_ms, round(time_ms)), next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self, until_ms: int) -> None:
        """Advance to a virtual time."""
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(time_ms - self.now_ms)
            action()
        self.clock.advance(until_ms - self.now_ms)

    def handle_message(self, message: Message) -> None:
        """Process a message and carry out its effects."""
        for effect in self.core.handle(message, self.clock.now()):
            self._carry_out(effect)

    def _record(self, message: Message, now: Moment) -> Iterator[Any]:
        """Keep what enters and leaves the schedule filter, in order."""
        if not isinstance(message, TimerDue | RunnerChanged):
            self.scheduled.append(message)
        for output in self._process(message, now):
            if isinstance(
                output, CapacityRequested | PreemptionRequested | RequestReleased
            ):
                self.scheduled.append(output)
            yield output

    def _carry_out(self, effect: object) -> None:
        match effect:
            case StartAttempt():
                self._start(effect)
            case CancelAttempt(attempt_id, reason):
                self._cancel(attempt_id, reason)
            case WakeAt(monotonic_ms):
                self._wakes.add(monotonic_ms)
                self.at(monotonic_ms, self._wake)
            case SendAnswer(request_id, data):
                outcome = self.outcomes[request_id]
                outcome.delivered += len(data)
                if outcome.first_token_ms is None:
                    outcome.first_token_ms = self.now_ms
            case EndAnswer(request_id):
                self.outcomes[request_id].ended_ms = self.now_ms
            case FailAnswer(request_id):
                self.outcomes[request_id].ended_ms = self.now_ms
                self.outcomes[request_id].failure = effect
        if self.on_effect is not None:
            self.on_effect(effect)

    def _wake(self) -> None:
        if self._wakes.pop_due(self.now_ms):
            self.handle_message(TimerDue())

    def _report(self) -> None:
        for runner_id in self._runner_ids:
            running = self._running_by_runner[runner_id]
            self.handle_message(build_load_reported(runner_id, running=running))
        self.at(self.now_ms + REPORT_INTERVAL_MS, self._report)

    def _start(self, start: StartAttempt) -> None:
        outcome = self.outcomes[start.request.request_id]
        if outcome.started_ms is None:
            outcome.started_ms = self.now_ms
        self.attempts[start.attempt_id] = RunningAttempt(start, start.resume_offset)
        self._running_by_runner[start.runner_id] += 1
        prompt_tokens = outcome.prompt_tokens + start.resume_offset
        prefill_ms = prompt_tokens * self.times.prefill_ms_per_token
        self._plan_chunk(start.attempt_id, 1, prefill_ms)

    def _plan_chunk(
        self, attempt_id: AttemptId, tokens: int, prefill_ms: float
    ) -> None:
        batch = self._running_by_runner[self.attempts[attempt_id].start.runner_id]
        token_ms = self.times.token_ms + self.times.token_ms_per_request * batch
        self.at(
            self.now_ms + prefill_ms + tokens * token_ms,
            lambda: self._generate(attempt_id, tokens),
        )

    def _generate(self, attempt_id: AttemptId, tokens: int) -> None:
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            return
        outcome = self.outcomes[attempt.start.request.request_id]
        outcome.generated += tokens
        offset, attempt.offset = attempt.offset, attempt.offset + tokens
        if offset == attempt.start.resume_offset:
            self.handle_message(AnswerHead(attempt_id, 200, "text/event-stream"))
        self.handle_message(AttemptChunk(attempt_id, b"t" * tokens, tokens, offset))
        left = outcome.tokens - attempt.offset
        if attempt_id not in self.attempts:
            return
        if left > 0:
            self._plan_chunk(attempt_id, min(CHUNK_TOKENS, left), 0)
            return
        self._end(attempt_id)
        self.handle_message(AttemptFinished(attempt_id, outcome.tokens))

    def _cancel(self, attempt_id: AttemptId, reason: CancelReason) -> None:
        attempt = self._end(attempt_id)
        if attempt is not None and reason is CancelReason.PREEMPTED:
            self.outcomes[attempt.start.request.request_id].preemptions += 1

    def _end(self, attempt_id: AttemptId) -> RunningAttempt | None:
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is not None:
            self._running_by_runner[attempt.start.runner_id] -= 1
        return attempt
