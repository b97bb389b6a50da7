"""Hosts that share runners of a plain service, which turn calls away when full."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, fields

from figshunt.directory import (
    ConfigurationPublished,
    PublishedRoute,
    RunnerListed,
    SourceStateChanged,
)
from figshunt.dispatch import (
    AnswerComplete,
    AnswerError,
    BroadcastStatus,
    CallAbandoned,
    CallArrived,
    CancelCallAttempt,
    DispatchCore,
    PeerStatusReceived,
    ReplyComplete,
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
    build_configuration,
    build_host_status,
    build_published_runner,
    build_reply_head,
)

HEARTBEAT_MS = 500
TIMER_MS = 100
BATCH_MS = 15
OCCUPANCY_MS = 200
PATH_MS = 60
NOT_NOTICES = ("can_wait", "is_urgent")


@dataclass(slots=True)
class PlainCall:
    """A caller's request and its fate; ``runs`` counts the runners that began it."""

    path: str
    sent_ms: int
    may_return: bool
    runs: int = 0
    ended_ms: int | None = None
    is_served: bool = False
    pause_ms: int | None = None


@dataclass(slots=True)
class PlainRunner:
    """The runs of a runner, first those in its slots, and how many it turned away."""

    slots: int
    waiting_places: int
    attempt_ids: list[AttemptId]
    rejections: int = 0


class PlainFleet:
    """Drives the cores of several hosts in virtual time."""

    def __init__(
        self,
        hosts: int,
        *routes: PublishedRoute,
        work_ms: int = 90,
        slots: int = 6,
        waiting_places: int = 2,
        bounds: SharedBounds = SharedBounds(retry_slack=220.0),
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock(Moment(100_000, 0))
        self.work_ms = work_ms
        self.loss = 0.0
        self.calls: list[PlainCall] = []
        self.runners = {
            RunnerId(f"b{number}"): PlainRunner(slots, waiting_places, [])
            for number in range(3)
        }
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._calls_by_id: dict[RequestId, PlainCall] = {}
        self._starts: dict[AttemptId, tuple[int, StartCallAttempt]] = {}
        self._wakes = [WakeQueue() for _ in range(hosts)]
        self._pending: list[dict[str, list[object]]] = [{} for _ in range(hosts)]
        self.cores = [
            DispatchCore(
                HostName(f"h{number:02}"),
                DataCentreName("a"),
                bounds,
                random.Random(seed + number),
                expects_peers=True,
            )
            for number in range(hosts)
        ]
        for number in range(hosts):
            self.handle(number, SourceStateChanged(True, "test"))
            self.handle(number, ConfigurationPublished(1, build_configuration(*routes)))
            for runner_id in self.runners:
                runner = build_published_runner(runner_id, "bookings", slots=slots)
                self.handle(number, RunnerListed(2, runner_id, runner))
            self._repeat(TIMER_MS, lambda n=number: self.handle(n, TimerDue()))
            self._repeat(HEARTBEAT_MS, lambda n=number: self._flush(n))

    @property
    def now_ms(self) -> int:
        """Return the current time."""
        return self.clock.now().monotonic_ms

    def send_calls(self, path: str, per_s: float, duration_ms: int) -> None:
        """Schedule calls at random times, at hosts drawn at random."""
        time_ms = self.now_ms + self.random.expovariate(per_s / 1_000)
        end_ms = self.now_ms + duration_ms
        while time_ms < end_ms:
            self.schedule(int(time_ms) - self.now_ms, lambda: self.send_call(path))
            time_ms += self.random.expovariate(per_s / 1_000)

    def send_call(
        self, path: str, may_return: bool = True, host: int | None = None
    ) -> tuple[int, RequestId]:
        """Send a call now, and return its host and id."""
        if host is None:
            host = self.random.randrange(len(self.cores))
        number = next(self._numbers)
        call = build_call(f"r{number}", path, received=self.clock.now())
        plain_call = PlainCall(path, self.now_ms, may_return)
        self.calls.append(plain_call)
        self._calls_by_id[call.call_id] = plain_call
        self.handle(host, CallArrived(call))
        return host, call.call_id

    def abandon(self, host: int, call_id: RequestId) -> None:
        """Let a caller disconnect."""
        self.handle(host, CallAbandoned(call_id))

    def run(self, duration_ms: int) -> None:
        """Advance the time, with all that happens meanwhile."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0, due_ms - self.now_ms))
            action()
        self.clock.advance(end_ms - self.now_ms)

    def schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedule an action."""
        due_ms = self.now_ms + max(0, delay_ms)
        heapq.heappush(self._events, (due_ms, next(self._numbers), action))

    def handle(self, host: int, message: Message) -> None:
        """Let a host process a message."""
        for effect in self.cores[host].handle(message, self.clock.now()):
            self._apply(host, effect)

    def _repeat(self, interval_ms: int, action: Callable[[], None]) -> None:
        def act() -> None:
            action()
            self.schedule(interval_ms, act)

        self.schedule(self.random.randrange(interval_ms), act)

    def _apply(self, host: int, effect: Effect) -> None:
        match effect:
            case StartCallAttempt():
                self.schedule(1, lambda: self._start(host, effect))
            case CancelCallAttempt(attempt_id):
                self._end(attempt_id)
            case BroadcastStatus():
                self._queue_notices(host, effect)
            case WakeAt(monotonic_ms):
                self._wakes[host].add(monotonic_ms)
                delay_ms = monotonic_ms - self.now_ms
                self.schedule(delay_ms, lambda: self._wake(host))
            case AnswerComplete(call_id):
                call = self._calls_by_id[call_id]
                call.ended_ms, call.is_served = self.now_ms, True
            case AnswerError(call_id, retry_after_ms=pause_ms):
                call = self._calls_by_id[call_id]
                call.ended_ms, call.pause_ms = self.now_ms, pause_ms
                if call.may_return and pause_ms is not None:
                    path = call.path
                    self.schedule(pause_ms, lambda: self.send_call(path, False))

    def _wake(self, host: int) -> None:
        if self._wakes[host].pop_due(self.now_ms):
            self.handle(host, TimerDue())

    def _start(self, host: int, start: StartCallAttempt) -> None:
        runner = self.runners[start.runner_id]
        self._starts[start.attempt_id] = (host, start)
        if len(runner.attempt_ids) >= runner.slots + runner.waiting_places:
            runner.rejections += 1
            head = build_reply_head(
                503, verdict=ReplyVerdict.REFUSED, has_receipt=False
            )
            self.handle(host, ReplyComplete(start.attempt_id, head, b""))
            return
        runner.attempt_ids.append(start.attempt_id)
        self._calls_by_id[start.call.call_id].runs += 1
        if len(runner.attempt_ids) <= runner.slots:
            self._work(start.attempt_id)

    def _work(self, attempt_id: AttemptId) -> None:
        work_ms = self.work_ms * self.random.lognormvariate(0.0, 0.4)
        self.schedule(int(work_ms), lambda: self._finish(attempt_id))

    def _finish(self, attempt_id: AttemptId) -> None:
        host, _ = self._starts[attempt_id]
        if self._end(attempt_id):
            self.handle(host, ReplyComplete(attempt_id, build_reply_head(), b""))

    def _end(self, attempt_id: AttemptId) -> bool:
        runner = self.runners[self._starts[attempt_id][1].runner_id]
        if attempt_id not in runner.attempt_ids:
            return False
        runner.attempt_ids.remove(attempt_id)
        if len(runner.attempt_ids) >= runner.slots:
            self._work(runner.attempt_ids[runner.slots - 1])
        return True

    def _queue_notices(self, host: int, effect: BroadcastStatus) -> None:
        for field in fields(effect):
            if field.name not in NOT_NOTICES and getattr(effect, field.name):
                notices = self._pending[host].setdefault(field.name, [])
                notices.extend(getattr(effect, field.name))
        if not effect.can_wait:
            is_slow = effect == BroadcastStatus(occupancies=effect.occupancies)
            delay_ms = OCCUPANCY_MS if is_slow else BATCH_MS
            self.schedule(delay_ms, lambda: self._flush(host, only_pending=True))

    def _flush(self, host: int, only_pending: bool = False) -> None:
        pending, self._pending[host] = self._pending[host], {}
        if only_pending and not pending:
            return
        core = self.cores[host]
        status = build_host_status(
            HostName(f"h{host:02}"),
            heard_digest=core.peers.heard_digest,
            held=core.placement.held_notices(),
            repeats=core.attempts.repeat_notices(self.clock.now()),
            **{name: tuple(notices) for name, notices in pending.items()},
        )
        for peer in range(len(self.cores)):
            if peer != host and self.random.random() >= self.loss:
                message = PeerStatusReceived(status)
                self.schedule(
                    self.random.randrange(1, PATH_MS),
                    lambda peer=peer: self.handle(peer, message),
                )
