"""Ends the requests that an unexpected error leaves without an owner."""

from collections.abc import Iterable
from typing import Protocol

from figshunt.pipeline._pipeline import FilterError, Pipeline
from figshunt.types import (
    AttemptId,
    CountEvent,
    Effect,
    LogEvent,
    Message,
    Moment,
    RequestId,
    Step,
    WakeAt,
)

# The effects that an error drops may include the next wake time, so the core runs
# again after this time.
WAKE_AFTER_ERROR_MS = 100


class RecoveryRules(Protocol):
    """What a core's messages and effects mean for its requests and attempts."""

    @property
    def tracked_types(self) -> frozenset[type]:
        """Return the types that open or end requests or start their answers.

        Most messages and effects have other types and cost only this test.
        """

    def opened_by(self, message: Message) -> RequestId | None:
        """Return the request that a message opens."""

    def closed_by(self, output: Message | Effect) -> RequestId | None:
        """Return the request that needs no further answer after a message or effect."""

    def started_by(self, effect: Effect) -> RequestId | None:
        """Return the request whose answer an effect starts."""

    def attempt_of(self, message: Message) -> AttemptId | None:
        """Return the attempt that a message reports on."""

    def attempt_started_by(self, effect: Effect) -> AttemptId | None:
        """Return the attempt that an effect starts."""

    def request_of(self, attempt_id: AttemptId) -> RequestId | None:
        """Return the request of an attempt, if that is in flight."""

    def is_owned(self, request_id: RequestId) -> bool:
        """Return whether a filter holds a request or has an attempt of it in flight."""

    def ends_all(self, message: Message) -> bool:
        """Return whether a message ends all requests."""

    def cancel_attempt(self, attempt_id: AttemptId) -> Effect:
        """Return the effect that cancels an attempt."""

    def fail_attempt(self, attempt_id: AttemptId) -> Message:
        """Return the message that an attempt failed that may have run."""

    def fail_request(self, request_id: RequestId, has_started: bool) -> Effect:
        """Return the effect that ends the answer of a request that may have run."""

    def check_owners(self, open_ids: frozenset[RequestId]) -> Message:
        """Return the message after which filters own open requests only."""


class RecoveringPipeline:
    """A pipeline in which each open request is owned by a filter, after errors too.

    After an error, the attempts that the failed messages report on end as failed, so
    that their requests are repeated or answered. Then each open request without an
    owner is answered, and what filters keep of other requests is removed.
    """

    def __init__(self, pipeline: Pipeline, rules: RecoveryRules) -> None:
        self._pipeline = pipeline
        self._rules = rules
        self._tracked_types = rules.tracked_types
        self._has_started_by_id: dict[RequestId, bool] = {}

    def handle(self, message: Message, now: Moment) -> list[Effect]:
        """Process a message and return the effects in order.

        :raises FilterError: if a filter failed; its effects include the recovery.
        """
        if type(message) in self._tracked_types:
            opened_id = self._rules.opened_by(message)
            if opened_id is not None:
                self._has_started_by_id[opened_id] = False
        try:
            effects = self._pipeline.handle(message, now)
        except FilterError as error:
            self._record((message, *error.effects))
            error.effects.extend(self._recover(error, now))
            raise
        self._record((message,))
        self._record(effects)
        return effects

    def handle_lost_effect(self, effect: Effect, now: Moment) -> list[Effect]:
        """Return what follows if an effect could not be carried out."""
        attempt_id = self._rules.attempt_started_by(effect)
        return self._fail_attempt(attempt_id, now) if attempt_id is not None else []

    def _recover(self, error: FilterError, now: Moment) -> list[Effect]:
        effects: list[Effect] = []
        orphaned_ids: set[RequestId] = set()
        for message in error.failed_messages:
            if self._rules.ends_all(message):
                orphaned_ids.update(self._has_started_by_id)
            attempt_id = self._rules.attempt_of(message)
            if attempt_id is not None:
                effects += self._fail_attempt(attempt_id, now)
                request_id = self._rules.request_of(attempt_id)
                if request_id is not None:
                    orphaned_ids.add(request_id)
        for request_id, has_started in tuple(self._has_started_by_id.items()):
            if request_id in orphaned_ids or not self._rules.is_owned(request_id):
                effects += self._fail_request(request_id, has_started, error)
        open_ids = frozenset(self._has_started_by_id)
        effects += self._process(self._rules.check_owners(open_ids), now)
        effects.append(WakeAt(now.monotonic_ms + WAKE_AFTER_ERROR_MS))
        return effects

    def _fail_attempt(self, attempt_id: AttemptId, now: Moment) -> list[Effect]:
        if self._rules.request_of(attempt_id) not in self._has_started_by_id:
            return []
        return [
            self._rules.cancel_attempt(attempt_id),
            *self._process(self._rules.fail_attempt(attempt_id), now),
        ]

    def _fail_request(
        self, request_id: RequestId, has_started: bool, error: FilterError
    ) -> list[Effect]:
        del self._has_started_by_id[request_id]
        message_name = type(error.failed_message).__name__
        return [
            self._rules.fail_request(request_id, has_started),
            CountEvent("orphaned_requests", {"message": message_name}),
            LogEvent(
                "request_orphaned",
                Step.DAEMON,
                {
                    "request": request_id,
                    "message": message_name,
                    "answer_started": has_started,
                },
            ),
        ]

    def _process(self, message: Message, now: Moment) -> list[Effect]:
        """Process a message of the recovery, which may meet the same error."""
        try:
            effects = self._pipeline.handle(message, now)
        except FilterError as error:
            effects = error.effects
        self._record(effects)
        return effects

    def _record(self, outputs: Iterable[Message | Effect]) -> None:
        """Keep track of which requests are open and which answers have started."""
        for output in outputs:
            if type(output) not in self._tracked_types:
                continue
            closed_id = self._rules.closed_by(output)
            if closed_id is not None:
                self._has_started_by_id.pop(closed_id, None)
            elif isinstance(output, Effect):
                started_id = self._rules.started_by(output)
                if started_id in self._has_started_by_id:
                    self._has_started_by_id[started_id] = True
