"""Keeps content that crashes runners away from them."""

from collections.abc import Iterable
from dataclasses import replace

from figshunt.control import Suspicion, SuspicionView
from figshunt.pipeline import Feedback, Output
from figshunt.request._refusal import refuse
from figshunt.types import (
    ErrorCode,
    Message,
    Moment,
    PoolName,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestId,
    RequestRouted,
    RoutedRequest,
    RunOutcome,
    Step,
    TimerDue,
    WakeAt,
)

MOST_HELD = 256


class QuarantineFilter:
    """Refuses quarantined content and runs suspects one at a time.

    At most one suspect of a pool is past this filter at any time; the others
    wait here, the highest tier first, and count as queued. A request whose
    content has been lost with two runners is not tried again.
    """

    step = Step.QUARANTINE
    accepts: tuple[type[Message], ...] = (
        RequestRouted,
        RequestAdmitted,
        RequestCancelled,
        RequestEnded,
        TimerDue,
    )

    def __init__(self, suspicions: SuspicionView) -> None:
        self._suspicions = suspicions
        self._held: dict[RequestId, RequestRouted | RequestAdmitted] = {}
        self._tried_by_pool: dict[PoolName, RequestId] = {}

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestRouted() | RequestAdmitted():
                yield from self._check(message, now)
            case RequestCancelled(request_id):
                held = self._held.pop(request_id, None)
                if held is None:
                    yield message
                else:
                    yield Feedback(
                        RequestEnded(held.routed, _outcome(held.routed), None)
                    )
            case RequestEnded(routed):
                yield message
                if self._tried_by_pool.get(routed.pool) == routed.request_id:
                    del self._tried_by_pool[routed.pool]
                yield from self._release(routed.pool, now)
            case TimerDue():
                yield message
                yield from self._expire(now)

    def _check(
        self, message: RequestRouted | RequestAdmitted, now: Moment
    ) -> Iterable[Output]:
        routed = message.routed
        fingerprint = routed.request.fingerprint
        suspicion = self._suspicions.suspicion(fingerprint, now)
        if suspicion is Suspicion.CLEAR:
            yield message
        elif suspicion is Suspicion.QUARANTINED or not self._suspicions.may_retry(
            fingerprint
        ):
            yield from refuse(
                routed,
                ErrorCode.QUARANTINED,
                self.step,
                "runners crashed while they ran this content",
                outcome=_outcome(routed),
            )
        elif self._tried_by_pool.setdefault(routed.pool, routed.request_id) == (
            routed.request_id
        ):
            yield replace(message, routed=replace(routed, alone=True))
        elif len(self._held) >= MOST_HELD:
            yield from refuse(
                routed,
                ErrorCode.QUEUE_FULL,
                self.step,
                "too many requests wait for a trial run",
                outcome=_outcome(routed),
            )
        else:
            self._held[routed.request_id] = message
            yield WakeAt(routed.deadline_ms)

    def _release(self, pool: PoolName, now: Moment) -> Iterable[Output]:
        waiting = sorted(
            (held for held in self._held.values() if held.routed.pool == pool),
            key=lambda held: (held.routed.tier, held.routed.deadline_ms),
        )
        for held in waiting:
            if pool in self._tried_by_pool:
                return
            del self._held[held.routed.request_id]
            yield from self._check(held, now)

    def _expire(self, now: Moment) -> Iterable[Output]:
        expired = [
            held
            for held in self._held.values()
            if held.routed.deadline_ms <= now.monotonic_ms
        ]
        for held in expired:
            del self._held[held.routed.request_id]
            yield from refuse(
                held.routed,
                ErrorCode.DEADLINE_PASSED,
                self.step,
                "the deadline passed before a trial run",
                outcome=_outcome(held.routed),
            )


def _outcome(routed: RoutedRequest) -> RunOutcome:
    return RunOutcome.NOT_RUN if routed.tries == 0 else RunOutcome.MAY_HAVE_RUN
