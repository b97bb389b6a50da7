"""Hosts in virtual time before runners of a plain service that differ in speed.

    python -m benchmarks.virtual_plain_fleet

Prints the share of calls in time, by load and seed, with and without load headers.
"""

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
    RunnerLoad,
    StartCallAttempt,
)
from figshunt.types import Effect, ManualClock, Moment, RequestId, RunnerId, TimerDue
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

START_MS = 100_000
TIMER_MS = 200
NOTICE_MS = 30
WAITING_NOTICE_MS = 250
WORK_MS = 90
TARGET_MS = 415
SLOTS = 6
QUEUE_LENGTH = 12
SEEDS = (1, 2, 3, 4)


@dataclass(slots=True)
class PlainRunner:
    """A runner with slots and a short queue, whose work takes ``slowness`` as long.

    ``build_head`` returns the head of its answers.
    """

    runner_id: RunnerId
    slowness: Callable[[int], float]
    build_head: Callable[["PlainRunner", int], ReplyHead]
    running: int = 0
    served: int = 0
    waiting: deque[tuple[int, StartCallAttempt]] = field(default_factory=deque)


class PlainFleet:
    """Hosts that send calls to runners.

    :param loss: share of the messages between hosts that are lost.
    """

    def __init__(
        self, hosts: int, runners: list[PlainRunner], loss: float = 0.0, seed: int = 1
    ) -> None:
        self.runners_by_id = {runner.runner_id: runner for runner in runners}
        self._loss = loss
        self._random = random.Random(seed)
        self._clock = ManualClock(Moment(START_MS, 0))
        self._numbers = itertools.count(1)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sent_ms: dict[RequestId, int] = {}
        self._latencies_ms: dict[RequestId, int] = {}
        route = build_run_once_route(target_ms=TARGET_MS, timeout_ms=3_100)
        self._drivers = [
            CoreDriver(
                *(
                    build_published_runner(name, "bookings", slots=SLOTS)
                    for name in self.runners_by_id
                ),
                configuration=build_configuration(route),
                seed=seed * 1_000 + host,
                host=f"p{host:02}",
            )
            for host in range(hosts)
        ]
        for host, driver in enumerate(self._drivers):
            driver.clock = self._clock
            self._after(host * TIMER_MS // hosts, lambda host=host: self._time(host))

    @property
    def now_ms(self) -> int:
        """Return the virtual time."""
        return self._clock.now().monotonic_ms

    def run(self, duration_ms: int, calls_per_s: float) -> None:
        """Let hosts receive calls at random times for that long."""
        until_ms = self.now_ms + duration_ms
        wait_ms = self._random.expovariate(calls_per_s / 1_000)
        while wait_ms < duration_ms:
            self._after(wait_ms, self._send_call)
            wait_ms += self._random.expovariate(calls_per_s / 1_000)
        while self._events and self._events[0][0] <= until_ms:
            time_ms, _, action = heapq.heappop(self._events)
            self._clock.advance(time_ms - self.now_ms)
            action()

    def timely_share(self, last_ms: int) -> float:
        """Return the share of the calls sent in the last time that met their target.

        Those of the very last moments may not have ended.
        """
        call_ids = [
            call_id
            for call_id, sent_ms in self._sent_ms.items()
            if 2 * TARGET_MS <= self.now_ms - sent_ms <= last_ms
        ]
        latencies_ms = [self._latencies_ms.get(call_id) for call_id in call_ids]
        timely = sum(ms is not None and ms <= TARGET_MS for ms in latencies_ms)
        return timely / len(call_ids)

    def _after(self, wait_ms: float, action: Callable[[], None]) -> None:
        event = (self.now_ms + round(wait_ms), next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _time(self, host: int) -> None:
        self._apply(host, self._drivers[host].handle(TimerDue()))
        self._after(TIMER_MS, lambda: self._time(host))

    def _send_call(self) -> None:
        host = self._random.randrange(len(self._drivers))
        call = build_call(f"r{next(self._numbers)}", "/book/1")
        self._sent_ms[call.call_id] = self.now_ms
        self._apply(host, self._drivers[host].call(call))

    def _apply(self, host: int, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartCallAttempt):
                self._receive(host, effect)
            elif isinstance(effect, BroadcastStatus):
                self._broadcast(host, effect)
            elif isinstance(effect, AnswerComplete):
                latency_ms = self.now_ms - self._sent_ms[effect.call_id]
                self._latencies_ms[effect.call_id] = latency_ms

    def _receive(self, host: int, start: StartCallAttempt) -> None:
        runner = self.runners_by_id[start.runner_id]
        if len(runner.waiting) >= QUEUE_LENGTH:
            self._answer(
                host, start, build_reply_head(503, verdict=ReplyVerdict.REFUSED)
            )
            return
        runner.waiting.append((host, start))
        self._begin_work(runner)

    def _begin_work(self, runner: PlainRunner) -> None:
        while runner.waiting and runner.running < SLOTS:
            host, start = runner.waiting.popleft()
            runner.running += 1
            work_ms = WORK_MS * self._random.lognormvariate(0, 0.2)
            self._after(
                work_ms * runner.slowness(self.now_ms),
                lambda host=host, start=start: self._end_work(runner, host, start),
            )

    def _end_work(
        self, runner: PlainRunner, host: int, start: StartCallAttempt
    ) -> None:
        runner.running -= 1
        runner.served += 1
        self._begin_work(runner)
        self._answer(host, start, runner.build_head(runner, self.now_ms))

    def _answer(self, host: int, start: StartCallAttempt, head: ReplyHead) -> None:
        reply = ReplyComplete(start.attempt_id, head, b"")
        self._after(1, lambda: self._apply(host, self._drivers[host].handle(reply)))

    def _broadcast(self, host: int, effect: BroadcastStatus) -> None:
        notices = {"speeds": effect.speeds, "occupancies": effect.occupancies}
        message = PeerStatusReceived(build_host_status(f"p{host:02}", **notices))
        delay_ms = WAITING_NOTICE_MS if effect.can_wait else NOTICE_MS
        for other, driver in enumerate(self._drivers):
            if other != host and self._random.random() >= self._loss:
                self._after(
                    delay_ms,
                    lambda other=other, driver=driver: self._apply(
                        other, driver.handle(message)
                    ),
                )


def slow_in_windows(now_ms: int) -> float:
    """Return the slowness of a machine that is slow in every other 600 ms."""
    return 2.5 if now_ms // 600 % 2 else 1.0


def build_loaded_head(runner: PlainRunner, now_ms: int) -> ReplyHead:
    """Return the head of an answer with the runner's true load."""
    slowdown = round(100 * runner.slowness(now_ms))
    load = RunnerLoad(runner.running, len(runner.waiting), SLOTS, slowdown)
    return build_reply_head(load=load)


def build_silent_head(runner: PlainRunner, now_ms: int) -> ReplyHead:
    """Return the head of an answer without a load."""
    return build_reply_head()


def slow_in_other_windows(now_ms: int) -> float:
    """Return the slowness of a machine that is slow in the windows between."""
    return 3.5 - slow_in_windows(now_ms)


def replay(
    slownesses: tuple[Callable[[int], float], ...],
    calls_per_s: float,
    build_head: Callable[[PlainRunner, int], ReplyHead],
    seed: int,
) -> float:
    """Return the share of calls in time with 30 hosts, after a second and a half."""
    runners = [
        PlainRunner(RunnerId(f"b{number}"), slowness, build_head)
        for number, slowness in enumerate(slownesses)
    ]
    fleet = PlainFleet(30, runners, seed=seed)
    fleet.run(5_000, calls_per_s)
    return fleet.timely_share(3_500)


def main() -> None:
    """Print the shares of all loads."""
    steady: Callable[[int], float] = lambda now_ms: 1.0
    slow: Callable[[int], float] = lambda now_ms: 2.5
    cases = {
        "equal, 210/s": ((steady,) * 4, 210),
        "one slow for good, 170/s": ((slow, *(steady,) * 3), 170),
        "one slow in windows, 210/s": ((slow_in_windows, *(steady,) * 3), 210),
        "two slow in turns, 190/s": (
            (slow_in_windows, slow_in_other_windows, steady, steady),
            190,
        ),
    }
    for name, (slownesses, calls_per_s) in cases.items():
        for build_head in (build_silent_head, build_loaded_head):
            shares = [
                replay(slownesses, calls_per_s, build_head, seed) for seed in SEEDS
            ]
            figures = ", ".join(f"{share:.3f}" for share in shares)
            print(f"{name}, {build_head.__name__}: {figures}")


if __name__ == "__main__":
    main()
