"""A core and simulated runners in virtual time."""

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
    """Progress and result of one request; times are in virtual milliseconds."""

    arrival: RequestArrived
    team: str
    tokens: int
    prompt_tokens: int
    started_ms: int | None = None
    first_token_ms: int | None = None
    ended_ms: int | None = None
    failure: FailAnswer | None = None
    delivered_tokens: int = 0
    generated_tokens: int = 0
    preemptions: int = 0

    @property
    def is_complete(self) -> bool:
        return self.ended_ms is not None and self.failure is None


@dataclass(slots=True)
class RunningAttempt:
    start: StartAttempt
    offset: int


@dataclass(frozen=True, slots=True)
class EngineTimes:
    """Run times of a simulated engine.

    The time per token grows with the number of attempts that run on the engine. Each
    attempt prefills its prompt and the tokens generated before it.
    """

    token_ms: float = 4.0
    token_ms_per_request: float = 2.0
    prefill_ms_per_token: float = 0.02


@dataclass
class VirtualFleet:
    """Drives a :class:`Core` and simulates the runners of its tables."""

    tables: dict[str, Any]
    build_policy: PolicyBuilder = TieredFair
    times: EngineTimes = EngineTimes()
    seed: int = 1
    clock: ManualClock = field(default_factory=ManualClock)
    outcomes: dict[RequestId, Outcome] = field(default_factory=dict)
    attempts: dict[AttemptId, RunningAttempt] = field(default_factory=dict)
    on_effect: Callable[[Any], None] | None = None
    schedule_messages: list[Any] = field(default_factory=list)

    def __post_init__(self) -> None:
        seat = SeatNumber(0)
        self.core = Core(
            HostName("host-0"),
            seat,
            (seat,),
            random.Random(self.seed),
            self.build_policy,
        )
        self._process_in_schedule = self.core.schedule.process
        self.core.schedule.process = self._record_message  # type: ignore[method-assign]
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._wakes = WakeQueue()
        self._request_numbers = itertools.count(1)
        self._running_by_runner: Counter[str] = Counter()
        tables_received = build_tables_received(**self.tables)
        self.handle_message(tables_received)
        self._runner_ids = tuple(tables_received.tables.runners_by_id)
        self._send_load_reports()

    @property
    def now_ms(self) -> int:
        return self.clock.now().monotonic_ms

    def submit(
        self, route: str, tokens: int, team: str = "team-a", prompt_tokens: int = 0
    ) -> Outcome:
        """Submit a request now; its caller key is the name of the team."""
        arrival = build_request_arrived(
            self.clock.now(), next(self._request_numbers), route=route, caller_key=team
        )
        outcome = Outcome(arrival, team, tokens, prompt_tokens)
        self.outcomes[arrival.request.request_id] = outcome
        self.handle_message(arrival)
        return outcome

    def schedule_action(self, time_ms: float, action: Callable[[], object]) -> None:
        """Schedule an action at a virtual time, or now if that time has passed."""
        event = (max(self.now_ms, round(time_ms)), next(self._event_numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until_ms: int) -> None:
        """Run the scheduled actions and advance the clock up to a virtual time."""
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(time_ms - self.now_ms)
            action()
        self.clock.advance(until_ms - self.now_ms)

    def handle_message(self, message: Message) -> None:
        """Process a message in the core and apply the effects."""
        for effect in self.core.handle(message, self.clock.now()):
            self._apply(effect)

    def _record_message(self, message: Message, now: Moment) -> Iterator[Any]:
        """Process a message in the schedule filter; record input and output in order.

        Timers and runner changes are not recorded; of the outputs, only releases and
        requests for capacity or preemption are.
        """
        if not isinstance(message, TimerDue | RunnerChanged):
            self.schedule_messages.append(message)
        for output in self._process_in_schedule(message, now):
            if isinstance(
                output, CapacityRequested | PreemptionRequested | RequestReleased
            ):
                self.schedule_messages.append(output)
            yield output

    def _apply(self, effect: object) -> None:
        match effect:
            case StartAttempt():
                self._start_attempt(effect)
            case CancelAttempt(attempt_id, reason):
                self._cancel_attempt(attempt_id, reason)
            case WakeAt(monotonic_ms):
                self._wakes.add(monotonic_ms)
                self.schedule_action(monotonic_ms, self._fire_timer)
            case SendAnswer(request_id, data):
                outcome = self.outcomes[request_id]
                outcome.delivered_tokens += len(data)
                if outcome.first_token_ms is None:
                    outcome.first_token_ms = self.now_ms
            case EndAnswer(request_id):
                self.outcomes[request_id].ended_ms = self.now_ms
            case FailAnswer(request_id):
                self.outcomes[request_id].ended_ms = self.now_ms
                self.outcomes[request_id].failure = effect
        if self.on_effect is not None:
            self.on_effect(effect)

    def _fire_timer(self) -> None:
        if self._wakes.pop_due(self.now_ms):
            self.handle_message(TimerDue())

    def _send_load_reports(self) -> None:
        for runner_id in self._runner_ids:
            running = self._running_by_runner[runner_id]
            self.handle_message(build_load_reported(runner_id, running=running))
        self.schedule_action(self.now_ms + REPORT_INTERVAL_MS, self._send_load_reports)

    def _start_attempt(self, start: StartAttempt) -> None:
        outcome = self.outcomes[start.request.request_id]
        if outcome.started_ms is None:
            outcome.started_ms = self.now_ms
        self.attempts[start.attempt_id] = RunningAttempt(start, start.resume_offset)
        self._running_by_runner[start.runner_id] += 1
        prompt_tokens = outcome.prompt_tokens + start.resume_offset
        prefill_ms = prompt_tokens * self.times.prefill_ms_per_token
        self._schedule_chunk(start.attempt_id, 1, prefill_ms)

    def _schedule_chunk(
        self, attempt_id: AttemptId, tokens: int, prefill_ms: float
    ) -> None:
        batch_size = self._running_by_runner[self.attempts[attempt_id].start.runner_id]
        token_ms = self.times.token_ms + self.times.token_ms_per_request * batch_size
        self.schedule_action(
            self.now_ms + prefill_ms + tokens * token_ms,
            lambda: self._generate_chunk(attempt_id, tokens),
        )

    def _generate_chunk(self, attempt_id: AttemptId, tokens: int) -> None:
        attempt = self.attempts.get(attempt_id)
        if attempt is None:
            return
        outcome = self.outcomes[attempt.start.request.request_id]
        outcome.generated_tokens += tokens
        offset, attempt.offset = attempt.offset, attempt.offset + tokens
        if offset == attempt.start.resume_offset:
            self.handle_message(AnswerHead(attempt_id, 200, "text/event-stream"))
        self.handle_message(AttemptChunk(attempt_id, b"t" * tokens, tokens, offset))
        remaining_tokens = outcome.tokens - attempt.offset
        if attempt_id not in self.attempts:
            return
        if remaining_tokens > 0:
            self._schedule_chunk(attempt_id, min(CHUNK_TOKENS, remaining_tokens), 0)
            return
        self._end(attempt_id)
        self.handle_message(AttemptFinished(attempt_id, outcome.tokens))

    def _cancel_attempt(self, attempt_id: AttemptId, reason: CancelReason) -> None:
        attempt = self._end(attempt_id)
        if attempt is not None and reason is CancelReason.PREEMPTED:
            self.outcomes[attempt.start.request.request_id].preemptions += 1

    def _end(self, attempt_id: AttemptId) -> RunningAttempt | None:
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is not None:
            self._running_by_runner[attempt.start.runner_id] -= 1
        return attempt
