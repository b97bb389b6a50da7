"""Hosts in virtual time that send to runners which name a limit."""

import dataclasses
import random
from collections import defaultdict
from dataclasses import dataclass

from figshunt.dispatch import (
    BroadcastStatus,
    PeerStatusReceived,
    ReplyComplete,
    StartCallAttempt,
)
from figshunt.types import Effect, RunnerId
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_published_route,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

STEP_MS = 10
HEARTBEAT_MS = 500
DISCOVERY_MS = 5_000

# The rule of the platform: from the first of these times on, a runner gets in any such
# window at most that share of its limit and a number more, from hosts that had passed
# on an answer with the limit for the second time.
STABLE_MS = 3_000
TOLD_MS = 500
WINDOW_MS = 4_000
OVERSHOOT = 1.5
SLACK = 5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request at a runner; ``is_counted`` if its host is bound by the limit."""

    at_ms: int
    runner_id: RunnerId
    host: int
    is_counted: bool


class LimitedFleet:
    """Hosts with drivers of their own, whose messages take ``delay_ms``.

    :param hears: whether the hosts receive each other's messages.
    :param loss: share of those messages that are lost.
    """

    def __init__(
        self,
        hosts: int,
        limit_per_s: float | None,
        *,
        runners: int = 1,
        hears: bool = True,
        loss: float = 0.0,
        delay_ms: int = 20,
        answer_ms: int = 30,
        seed: int = 1,
    ) -> None:
        self.limit_per_s = limit_per_s
        self.arrivals: list[Arrival] = []
        self.now_ms = 0
        self.frozen_hosts: set[int] = set()
        self._runners = runners
        self.hears = hears
        self._loss = loss
        self._delay_ms = delay_ms
        self._answer_ms = answer_ms
        self._random = random.Random(seed)
        self._calls = 0
        self._told_ms: dict[tuple[int, RunnerId], int] = {}
        self._named_ms: dict[RunnerId, int] = {}
        self._incarnations = [1] * hosts
        self._inbox: dict[int, list[tuple[int, object]]] = defaultdict(list)
        self._drivers = [self._start_driver(host) for host in range(hosts)]
        self.run(DISCOVERY_MS, {})

    def restart(self, host: int) -> None:
        """Replace a host by a new process, which knows nothing."""
        self._incarnations[host] += 1
        self._inbox[host].clear()
        self._excuse(host)
        self._drivers[host] = self._start_driver(host)

    def freeze(self, host: int) -> None:
        """Let a host do nothing until ``thaw``."""
        self.frozen_hosts.add(host)

    def thaw(self, host: int) -> None:
        """Let a host go on, with all that it was sent meanwhile."""
        self.frozen_hosts.discard(host)
        self._excuse(host)

    def run(self, duration_ms: int, interval_ms_by_host: dict[int, int]) -> None:
        """Let hosts receive calls at these intervals for a time."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for host, driver in enumerate(self._drivers):
                driver.clock.advance(STEP_MS)
                if host not in self.frozen_hosts:
                    self._step(host, driver, interval_ms_by_host.get(host, 0))

    def worst_excess(self) -> float:
        """Return by how many requests the rule is broken at most; negative if not."""
        worst = -float("inf")
        assert self.limit_per_s is not None
        allowed = OVERSHOOT * self.limit_per_s * WINDOW_MS / 1_000 + SLACK
        for runner_id, named_ms in self._named_ms.items():
            times_ms = [
                arrival.at_ms
                for arrival in self.arrivals
                if arrival.is_counted
                and arrival.runner_id == runner_id
                and arrival.at_ms >= named_ms + STABLE_MS
            ]
            for start_ms in times_ms:
                count = sum(start_ms <= at < start_ms + WINDOW_MS for at in times_ms)
                worst = max(worst, count - allowed)
        return worst

    def count_since(self, since_ms: int) -> int:
        """Return how many requests reached the runners since then."""
        return sum(arrival.at_ms > since_ms for arrival in self.arrivals)

    def _start_driver(self, host: int) -> CoreDriver:
        return CoreDriver(
            *(
                build_published_runner(f"b{number}", "bookings")
                for number in range(self._runners)
            ),
            configuration=build_configuration(
                build_published_route(), build_run_once_route()
            ),
            seed=host,
            host=f"p{host:02}",
            expects_peers=len(self._incarnations) > 1,
        )

    def _excuse(self, host: int) -> None:
        for key in [key for key in self._told_ms if key[0] == host]:
            del self._told_ms[key]

    def _step(self, host: int, driver: CoreDriver, interval_ms: int) -> None:
        inbox, self._inbox[host] = self._inbox[host], []
        for due_ms, message in inbox:
            if due_ms > self.now_ms:
                self._inbox[host].append((due_ms, message))
                continue
            if isinstance(message, ReplyComplete):
                self._record_told(host, message)
            assert isinstance(message, ReplyComplete | PeerStatusReceived)
            self._apply(host, driver.handle(message))
        self._apply(host, driver.advance(0))
        if interval_ms and self._random.random() < STEP_MS / interval_ms:
            self._calls += 1
            self._apply(host, driver.call(build_call(f"r{self._calls}", "/book/1")))
        if (self.now_ms // STEP_MS + host) % (HEARTBEAT_MS // STEP_MS) == 0:
            self._apply(host, [BroadcastStatus()])

    def _record_told(self, host: int, reply: ReplyComplete) -> None:
        runner_id = RunnerId(reply.body.decode())
        if reply.head.names_limit:
            self._told_ms.setdefault((host, runner_id), self.now_ms)

    def _apply(self, host: int, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, StartCallAttempt):
                self._receive_request(host, effect)
            elif isinstance(effect, BroadcastStatus) and self.hears:
                self._broadcast(host, effect)

    def _receive_request(self, host: int, start: StartCallAttempt) -> None:
        told_ms = self._told_ms.get((host, start.runner_id))
        is_counted = told_ms is not None and self.now_ms >= told_ms + TOLD_MS
        self.arrivals.append(
            Arrival(self.now_ms, start.runner_id, host, is_counted),
        )
        names_limit = self.limit_per_s is not None
        if names_limit:
            self._named_ms.setdefault(start.runner_id, self.now_ms)
        head = build_reply_head(names_limit=names_limit, limit_per_s=self.limit_per_s)
        reply = ReplyComplete(start.attempt_id, head, start.runner_id.encode())
        self._inbox[host].append((self.now_ms + self._answer_ms, reply))

    def _broadcast(self, host: int, effect: BroadcastStatus) -> None:
        notices = {
            field.name: getattr(effect, field.name)
            for field in dataclasses.fields(effect)
            if field.name not in ("can_wait", "is_urgent")
        }
        status = build_host_status(
            f"p{host:02}", incarnation=self._incarnations[host], **notices
        )
        for peer in range(len(self._drivers)):
            if peer != host and self._random.random() >= self._loss:
                due_ms = self.now_ms + self._delay_ms
                self._inbox[peer].append((due_ms, PeerStatusReceived(status)))
