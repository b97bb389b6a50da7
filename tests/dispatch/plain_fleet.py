"""Hosts in virtual time before runners of a plain service that differ in speed."""

import dataclasses
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from figshunt.dispatch import (
    AnswerComplete,
    BroadcastStatus,
    PeerStatusReceived,
    ReplyComplete,
    ReplyHead,
    ReplyVerdict,
    StartCallAttempt,
)
from figshunt.types import Effect, Message, RequestId, RunnerId, TimerDue
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

TIMER_MS = 200
NOTICE_MS = 30
WAITING_NOTICE_MS = 250
QUEUE_LENGTH = 12


@dataclass(slots=True)
class PlainRunner:
    """A runner with slots and a short queue, whose work takes ``slowness`` as long.

    ``build_head`` returns the head of its answers.
    """

    runner_id: RunnerId
    slots: int
    slowness: Callable[[int], float]
    build_head: Callable[["PlainRunner", int], ReplyHead]
    running: int = 0
    served: int = 0
    waiting: deque[tuple[int, StartCallAttempt]] = field(default_factory=deque)


class PlainFleet:
    """Hosts that send calls of ``work_ms`` to runners.

    :param loss: share of the messages between hosts that are lost.
    """

    def __init__(
        self,
        hosts: int,
        runners: list[PlainRunner],
        *,
        work_ms: int = 90,
        target_ms: int = 415,
        loss: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.now_ms = 0
        self.target_ms = target_ms
        self.latencies_ms: dict[RequestId, int | None] = {}
        self.runners_by_id = {runner.runner_id: runner for runner in runners}
        self._work_ms = work_ms
        self._loss = loss
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sent_ms: dict[RequestId, int] = {}
        route = build_run_once_route(target_ms=target_ms, timeout_ms=3_100)
        self.drivers = [
            CoreDriver(
                *(
                    build_published_runner(name, "bookings", slots=runner.slots)
                    for name, runner in self.runners_by_id.items()
                ),
                configuration=build_configuration(route),
                seed=seed * 1_000 + host,
                host=f"p{host:02}",
            )
            for host in range(hosts)
        ]
        for host in range(hosts):
            self._at(host * TIMER_MS // hosts, lambda host=host: self._run_timer(host))

    def run(self, duration_ms: int, calls_per_s: float) -> None:
        """Let hosts receive calls at random times, and finish what they began."""
        until_ms = self.now_ms + duration_ms
        time_ms = self.now_ms + self._random.expovariate(calls_per_s / 1_000)
        while time_ms < until_ms:
            self._at(time_ms, self._send_call)
            time_ms += self._random.expovariate(calls_per_s / 1_000)
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()

    def timely_share(self, since_ms: int = 0) -> float:
        """Return the share of the calls sent since then that met their target."""
        latencies_ms = [
            latency_ms
            for call_id, latency_ms in self.latencies_ms.items()
            if since_ms <= self._sent_ms[call_id] <= self.now_ms - 2 * self.target_ms
        ]
        timely = [ms for ms in latencies_ms if ms is not None and ms <= self.target_ms]
        return len(timely) / len(latencies_ms)

    def handle(self, host: int, message: Message) -> None:
        """Pass a message to a host at the current time."""
        self._apply(host, self._driver(host).handle(message))

    def _driver(self, host: int) -> CoreDriver:
        driver = self.drivers[host]
        driver.effects.clear()
        driver.clock.advance(100_000 + self.now_ms - driver.clock.now().monotonic_ms)
        return driver

    def _at(self, time_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (round(time_ms), next(self._numbers), action))

    def _run_timer(self, host: int) -> None:
        self.handle(host, TimerDue())
        self._at(self.now_ms + TIMER_MS, lambda: self._run_timer(host))

    def _send_call(self) -> None:
        host = self._random.randrange(len(self.drivers))
        call = build_call(f"r{next(self._numbers)}", "/book/1")
        self._sent_ms[call.call_id] = self.now_ms
        self.latencies_ms[call.call_id] = None
        self._apply(host, self._driver(host).call(call))

    def _apply(self, host: int, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartCallAttempt):
                self._receive(host, effect)
            elif isinstance(effect, BroadcastStatus):
                self._broadcast(host, effect)
            elif isinstance(effect, AnswerComplete):
                sent_ms = self._sent_ms[effect.call_id]
                self.latencies_ms[effect.call_id] = self.now_ms - sent_ms

    def _receive(self, host: int, start: StartCallAttempt) -> None:
        runner = self.runners_by_id[start.runner_id]
        if len(runner.waiting) >= QUEUE_LENGTH:
            head = build_reply_head(503, verdict=ReplyVerdict.REFUSED)
            self._answer(host, start, head, 1)
            return
        runner.waiting.append((host, start))
        self._begin_work(runner)

    def _begin_work(self, runner: PlainRunner) -> None:
        while runner.waiting and runner.running < runner.slots:
            host, start = runner.waiting.popleft()
            runner.running += 1
            work_ms = self._work_ms * self._random.lognormvariate(0, 0.2)
            work_ms *= runner.slowness(self.now_ms)
            self._at(
                self.now_ms + work_ms,
                lambda host=host, start=start: self._end_work(runner, host, start),
            )

    def _end_work(
        self, runner: PlainRunner, host: int, start: StartCallAttempt
    ) -> None:
        runner.running -= 1
        runner.served += 1
        self._begin_work(runner)
        self._answer(host, start, runner.build_head(runner, self.now_ms), 1)

    def _answer(
        self, host: int, start: StartCallAttempt, head: ReplyHead, delay_ms: int
    ) -> None:
        reply = ReplyComplete(start.attempt_id, head, b"")
        self._at(self.now_ms + delay_ms, lambda: self.handle(host, reply))

    def _broadcast(self, host: int, effect: BroadcastStatus) -> None:
        fields = {
            field.name: getattr(effect, field.name)
            for field in dataclasses.fields(effect)
            if field.name != "can_wait"
        }
        status = build_host_status(f"p{host:02}", **fields)
        delay_ms = WAITING_NOTICE_MS if effect.can_wait else NOTICE_MS
        for other in range(len(self.drivers)):
            if other != host and self._random.random() >= self._loss:
                self._at(
                    self.now_ms + delay_ms,
                    lambda other=other: self.handle(other, PeerStatusReceived(status)),
                )
