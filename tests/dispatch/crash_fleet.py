"""Entry hosts and runners in virtual time, some of whose requests crash runners."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields, replace
from functools import partial

from figshunt.directory import (
    ConfigurationPublished,
    PublishedRunner,
    Repeatability,
    RunnerListed,
    RunnerUnlisted,
    SourceStateChanged,
)
from figshunt.dispatch import (
    AnswerAbort,
    AnswerEnd,
    AnswerError,
    BroadcastStatus,
    Call,
    CallArrived,
    CallAttemptFailed,
    CancelCallAttempt,
    DispatchCore,
    PeerStatusReceived,
    ReplyComplete,
    ReplyEnded,
    ReplyEvent,
    ReplyStarted,
    ReplyVerdict,
    SharedBounds,
    StartCallAttempt,
)
from figshunt.types import (
    AttemptFailure,
    AttemptId,
    DataCentreName,
    Effect,
    Fingerprint,
    HostName,
    ManualClock,
    Message,
    Moment,
    RunnerId,
    SendState,
    TimerDue,
    Version,
)
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_prompt,
    build_published_route,
    build_published_runner,
    build_reply_head,
)

TICK_MS = 200
HEARTBEAT_MS = 500
DATAGRAM_DELAY_MS = 20
STORE_DELAY_MS = 30
REFUSED_CONNECTION_MS = 1

# A runner is back this long after a crash, under a new id at the same address. Its
# previous entry expires later.
DOWN_MS = 1_000
LEASE_MS = 4_000

# The users' bounds: this many requests may reach runners that were sent later than
# the window after the third crash of a content, or the fifth of a prompt part.
WINDOW_MS = 3_000
MAX_LATE_REQUESTS = 3
CONTENT_CRASHES = 3
PART_CRASHES = 5

Crasher = Callable[[Call, "FleetRunner"], int | None]


@dataclass(slots=True)
class FleetRunner:
    """The process at an address, and its runs by attempt with their hosts."""

    entry: PublishedRunner
    number: int
    is_up: bool = True
    generation: int = 0


@dataclass(frozen=True, slots=True)
class Run:
    """A request at a runner; times are in ms of the fleet's clock."""

    host: HostName
    attempt: StartCallAttempt
    runner: FleetRunner
    started_ms: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a caller's request ended."""

    call: Call
    ended_ms: int
    status: int


class CrashFleet:
    """Hosts that share runners, a store and a network, each with delays and faults.

    :param crasher: returns after how many ms of a run a call crashes its runner.
    """

    def __init__(
        self, crasher: Crasher, hosts: int = 4, runners: int = 8, seed: int = 1
    ) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock(Moment(100_000, 0))
        self.crasher = crasher
        self.service_ms = 300
        self.loss_share = 0.0
        self.cut_hosts: set[HostName] = set()
        self.is_store_up = True
        self.cores_by_host: dict[HostName, DispatchCore] = {}
        self.runs_by_attempt: dict[AttemptId, Run] = {}
        self.arrivals: list[Run] = []
        self.crashes: list[tuple[int, Call]] = []
        self.outcomes: list[Outcome] = []
        self._calls_by_id: dict[str, Call] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._withheld: list[Message] = []
        self._incarnations_by_host: dict[HostName, int] = {}
        self.runners = [
            FleetRunner(build_published_runner(f"e{number}", address=f"r{number}"), 0)
            for number in range(runners)
        ]
        for number in range(hosts):
            self.start_host(HostName(f"h{number}"))
        self.run(5_000)

    @property
    def now_ms(self) -> int:
        """Return the current time."""
        return self.clock.now().monotonic_ms

    @property
    def hosts(self) -> Sequence[HostName]:
        """Return the names of all hosts."""
        return tuple(self.cores_by_host)

    def start_host(self, host: HostName) -> None:
        """Start a host, or replace its process by one that knows nothing yet."""
        is_first = host not in self._incarnations_by_host
        incarnation = self._incarnations_by_host.get(host, 0) + 1
        self._incarnations_by_host[host] = incarnation
        self.cores_by_host[host] = DispatchCore(
            host, DataCentreName("a"), SharedBounds(), random.Random(incarnation)
        )
        routes = (
            build_published_route("chat"),
            build_published_route(
                "note", repeatability=Repeatability.RUN_ONCE, max_runners=1
            ),
        )
        self._handle(host, TimerDue())
        self._handle(host, SourceStateChanged(True, "test"))
        self._handle(
            host, ConfigurationPublished(Version.of(0, 1), build_configuration(*routes))
        )
        for runner in self.runners:
            if runner.is_up:
                entry = runner.entry
                self._handle(
                    host, RunnerListed(Version.of(0, 2), entry.runner_id, entry)
                )
        if is_first:
            self._tick(host)
            self._send_heartbeat(host)

    def call(
        self,
        content: str,
        *parts: str,
        host: HostName | None = None,
        route: str = "note",
    ) -> None:
        """Send a request with this content and these shared parts to a host."""
        number = next(self._numbers)
        call_id = f"c{number}"
        prompt = build_prompt(1_000, *((part, 200) for part in parts), name=call_id)
        call = build_call(
            call_id,
            f"/{route}/1",
            prompt=prompt,
            fingerprint=Fingerprint(content),
            received=self.clock.now(),
        )
        self._calls_by_id[call.call_id] = call
        self._handle(host or self.random.choice(self.hosts), CallArrived(call))

    def run(self, duration_ms: int) -> None:
        """Advance the time, with all that happens meanwhile."""
        end_ms = self.now_ms + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0, due_ms - self.now_ms))
            action()
        self.clock.advance(end_ms - self.now_ms)

    def set_store(self, is_up: bool) -> None:
        """Let the store fall silent, or tell all that has changed meanwhile."""
        self.is_store_up = is_up
        if is_up:
            withheld, self._withheld = self._withheld, []
            for message in withheld:
                self._publish(message)

    def late_arrivals(self, crash_count: int, has_cause: Callable[[Call], bool]) -> int:
        """Return how many requests with a cause of crashes came later than allowed."""
        crashes_ms = [time_ms for time_ms, call in self.crashes if has_cause(call)]
        if len(crashes_ms) < crash_count:
            return 0
        since_ms = crashes_ms[crash_count - 1] + WINDOW_MS
        return sum(
            run.started_ms > since_ms and has_cause(run.attempt.call)
            for run in self.arrivals
        )

    def late_contents(self, content: str) -> int:
        """Return how many requests with a content came later than allowed."""
        return self.late_arrivals(
            CONTENT_CRASHES, lambda call: call.fingerprint == content
        )

    def late_parts(self, part: str) -> int:
        """Return how many requests with a part came later than allowed."""
        return self.late_arrivals(PART_CRASHES, lambda call: has_part(call, part))

    def refused_since(self, since_ms: int, *, without: str) -> list[Outcome]:
        """Return the requests refused since then that lack a cause of crashes."""
        return [
            outcome
            for outcome in self.outcomes
            if outcome.status == 503
            and outcome.ended_ms >= since_ms
            and outcome.call.fingerprint != without
            and not has_part(outcome.call, without)
        ]

    def _schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._events, (due_ms, next(self._numbers), action))

    def _tick(self, host: HostName) -> None:
        self._handle(host, TimerDue())
        self._schedule(TICK_MS, partial(self._tick, host))

    def _send_heartbeat(self, host: HostName) -> None:
        self._broadcast(host, BroadcastStatus())
        self._schedule(HEARTBEAT_MS, partial(self._send_heartbeat, host))

    def _broadcast(self, host: HostName, notices: BroadcastStatus) -> None:
        named = {
            field.name: getattr(notices, field.name)
            for field in fields(notices)
            if field.name not in ("can_wait", "is_urgent")
        }
        status = build_host_status(
            host,
            incarnation=self._incarnations_by_host[host],
            suspects_digest=self.cores_by_host[host].crashes.digest,
            **named,
        )
        for peer in self.hosts:
            is_cut = self.cut_hosts & {host, peer}
            if peer != host and not is_cut and self.random.random() >= self.loss_share:
                deliver = partial(self._handle, peer, PeerStatusReceived(status))
                self._schedule(DATAGRAM_DELAY_MS, deliver)

    def _publish(self, message: Message) -> None:
        if not self.is_store_up:
            self._withheld.append(message)
            return
        for host in self.hosts:
            self._schedule(STORE_DELAY_MS, partial(self._handle, host, message))

    def _handle(self, host: HostName, message: Message) -> None:
        effects = self.cores_by_host[host].handle(message, self.clock.now())
        for effect in effects:
            self._apply(host, effect)

    def _apply(self, host: HostName, effect: Effect) -> None:
        match effect:
            case StartCallAttempt():
                self._start_run(host, effect)
            case CancelCallAttempt(attempt_id):
                self.runs_by_attempt.pop(attempt_id, None)
            case BroadcastStatus():
                self._broadcast(host, effect)
            case AnswerError(call_id, _, status):
                self._record_outcome(call_id, status)
            case AnswerEnd(call_id):
                self._record_outcome(call_id, 200)
            case AnswerAbort(call_id):
                self._record_outcome(call_id, 0)

    def _record_outcome(self, call_id: str, status: int) -> None:
        self.outcomes.append(Outcome(self._calls_by_id[call_id], self.now_ms, status))

    def _start_run(self, host: HostName, attempt: StartCallAttempt) -> None:
        (runner,) = (
            runner for runner in self.runners if runner.entry.address == attempt.address
        )
        if not runner.is_up:
            refused = CallAttemptFailed(
                attempt.attempt_id, AttemptFailure.REFUSED, SendState.UNSENT, "refused"
            )
            self._schedule(REFUSED_CONNECTION_MS, partial(self._handle, host, refused))
            return
        if runner.entry.runner_id != attempt.runner_id:
            head = build_reply_head(421, verdict=ReplyVerdict.WRONG_RUNNER)
            reply = ReplyComplete(attempt.attempt_id, head, b"")
            self._schedule(REFUSED_CONNECTION_MS, partial(self._handle, host, reply))
            return
        run = Run(host, attempt, runner, self.now_ms)
        self.arrivals.append(run)
        self.runs_by_attempt[attempt.attempt_id] = run
        crash_ms = self.crasher(attempt.call, runner)
        if crash_ms is not None:
            action = partial(self._crash, run, runner.generation)
            self._schedule(crash_ms, action)
        else:
            self._schedule(self.service_ms, partial(self._end_run, run))

    def _end_run(self, run: Run) -> None:
        if self.runs_by_attempt.pop(run.attempt.attempt_id, None) is None:
            return
        attempt_id = run.attempt.attempt_id
        head = build_reply_head(is_stream=True)
        self._handle(run.host, ReplyStarted(attempt_id, head))
        self._handle(run.host, ReplyEvent(attempt_id, 1, b"id: 1\ndata: x\n\n"))
        self._handle(run.host, ReplyEnded(attempt_id))

    def _crash(self, run: Run, generation: int) -> None:
        runner = run.runner
        if runner.generation != generation or not runner.is_up:
            return
        self.crashes.append((self.now_ms, run.attempt.call))
        self.stop_runner(runner)

    def stop_runner(self, runner: FleetRunner) -> None:
        """End a runner's process; it is back after a while."""
        runner.is_up = False
        runner.generation += 1
        lost_runs = [
            run for run in self.runs_by_attempt.values() if run.runner is runner
        ]
        for run in lost_runs:
            del self.runs_by_attempt[run.attempt.attempt_id]
            lost = CallAttemptFailed(
                run.attempt.attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "closed",
            )
            self._handle(run.host, lost)
        self._schedule(DOWN_MS, partial(self._return_runner, runner))
        unlisted = RunnerUnlisted(
            Version.of(0, 3), runner.entry.runner_id, after_outage=False
        )
        self._schedule(LEASE_MS, partial(self._publish, unlisted))

    def _return_runner(self, runner: FleetRunner) -> None:
        name = f"{runner.entry.address}-{runner.generation}"
        runner.entry = replace(
            runner.entry, runner_id=RunnerId(name), started_wall_ms=self.now_ms
        )
        runner.is_up = True
        self._publish(
            RunnerListed(Version.of(0, 4), runner.entry.runner_id, runner.entry)
        )


def has_part(call: Call, part: str) -> bool:
    """Return whether a call's prompt contains a part."""
    parts = call.prompt.parts if call.prompt else ()
    return any(entry.part_id == part for entry in parts)
