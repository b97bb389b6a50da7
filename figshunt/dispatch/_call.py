"""A caller's request as an entry host represents it."""

from dataclasses import dataclass, field, replace
from typing import NewType

from figshunt.directory import PublishedRoute
from figshunt.dispatch.admission._suspect import Suspect
from figshunt.types import (
    Fingerprint,
    Moment,
    PoolName,
    RequestId,
    RunnerId,
    TeamName,
)

PartId = NewType("PartId", str)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt's prefix that other requests may share."""

    part_id: PartId
    tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """The caller's description of a generation; ``parts`` are in prompt order."""

    input_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    expected_output_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class Call:
    """One request as received from a caller.

    This host assigns ``call_id``. ``headers`` are forwarded to the runner
    unchanged. ``time_limit_ms`` is the caller's time limit, counted from
    ``received``. ``resume_after`` is the id of the last event that the caller
    has received.
    """

    call_id: RequestId
    host: str
    method: str
    target: str
    caller_key: str | None = field(repr=False)
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    received: Moment
    time_limit_ms: int | None
    prompt: Prompt | None
    resume_after: int | None
    fingerprint: Fingerprint

    @property
    def path(self) -> str:
        """Return the request target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class RoutedCall:
    """A call with its route, pool, team and deadline, and its attempts so far.

    ``urgency`` is that of the team or, if it has none, of the route. ``priority``
    is the one that the runner receives; it also orders requests of equal urgency.
    ``possible_runs`` counts the runners that may have run it, ``refusals`` the
    attempts that certainly did not run, and ``tried_runner_ids`` lists the runners
    of both. ``last_event_id`` is the id of the last event that was forwarded to
    the caller. ``has_consecutive_ids`` is known from the second id on.
    ``has_unnumbered_events`` is set once an event with data and without an id was
    forwarded, after which the stream can't be resumed.
    ``answer_started`` is set once the answer to the caller has started.
    ``trial`` is the suspect of runner crashes that this call tries.
    ``full_runner_ids`` are the runners that turned it away; they may get it again.
    ``is_repeat`` is set while it waits for the retry budget.
    ``held_since_ms`` is when it was first held; a rejection does not reset it.
    """

    call: Call
    route: PublishedRoute
    pool: PoolName
    team: TeamName | None
    urgency: int
    priority: int
    deadline_ms: int
    possible_runs: int = 0
    refusals: int = 0
    tried_runner_ids: tuple[RunnerId, ...] = ()
    last_event_id: int | None = None
    has_consecutive_ids: bool | None = None
    has_unnumbered_events: bool = False
    answer_started: bool = False
    trial: Suspect | None = None
    full_runner_ids: frozenset[RunnerId] = frozenset()
    is_repeat: bool = False
    held_since_ms: int | None = None

    @property
    def call_id(self) -> RequestId:
        """Return the id of the underlying call."""
        return self.call.call_id

    def has_tried(self, runner_id: RunnerId) -> bool:
        """Return whether a runner has had the call and did not turn it away."""
        return (
            runner_id in self.tried_runner_ids and runner_id not in self.full_runner_ids
        )

    def without_run(self) -> "RoutedCall":
        """Return a copy after an attempt that certainly did not run."""
        return replace(
            self, possible_runs=self.possible_runs - 1, refusals=self.refusals + 1
        )

    def as_requeued(self, runner_id: RunnerId) -> "RoutedCall":
        """Return a copy that waits after this runner turned the call away."""
        return replace(
            self, full_runner_ids=self.full_runner_ids | {runner_id}, is_repeat=True
        )

    def with_attempt(self, runner_id: RunnerId) -> "RoutedCall":
        """Return a copy that includes an attempt at the runner."""
        return replace(
            self,
            possible_runs=self.possible_runs + 1,
            tried_runner_ids=(*self.tried_runner_ids, runner_id),
            full_runner_ids=self.full_runner_ids - {runner_id},
        )

    def may_follow(self, event_id: int) -> bool:
        """Return whether an event may be forwarded after the last one.

        Ids increase. If they were consecutive so far, a skipped id is a lost event.
        """
        if self.last_event_id is None:
            return True
        if self.has_consecutive_ids:
            return event_id == self.last_event_id + 1
        return event_id > self.last_event_id

    def with_event(self, event_id: int) -> "RoutedCall":
        """Return a copy after an event was forwarded."""
        has_consecutive_ids = self.has_consecutive_ids
        if self.last_event_id is not None and has_consecutive_ids is None:
            has_consecutive_ids = event_id == self.last_event_id + 1
        return replace(
            self, last_event_id=event_id, has_consecutive_ids=has_consecutive_ids
        )
