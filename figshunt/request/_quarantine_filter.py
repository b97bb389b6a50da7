"""Quarantine of request content that crashes runners."""

from collections.abc import Iterable
from dataclasses import replace

from figshunt.control import MAX_UNDECIDED_MS, Suspicion, SuspicionView
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
    SuspicionChanged,
    TimerDue,
    WakeAt,
)

MAX_HELD_REQUESTS = 256


class QuarantineFilter:
    """Refuses quarantined content and runs suspected content one at a time.

    At most one request with suspected content is released per pool at a time,
    for a trial run during which this daemon sends no other request to its
    runner. The others are held here and count as queued; they are released by
    tier, highest first, and then by deadline. A request is not tried again
    once the runners that were lost while they ran its content suffice for a
    quarantine. One that has lost a runner itself waits for what becomes known of
    that loss.
    """

    step = Step.QUARANTINE
    accepts: tuple[type[Message], ...] = (
        RequestRouted,
        RequestAdmitted,
        RequestCancelled,
        RequestEnded,
        SuspicionChanged,
        TimerDue,
    )

    def __init__(self, suspicions: SuspicionView) -> None:
        self._suspicions = suspicions
        self._held_by_id: dict[RequestId, RequestRouted | RequestAdmitted] = {}
        self._trial_by_pool: dict[PoolName, RequestId] = {}

    def owns(self, request_id: RequestId) -> bool:
        """Return whether a request is held here."""
        return request_id in self._held_by_id

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case RequestRouted() | RequestAdmitted():
                yield from self._check_content(message, now)
            case RequestCancelled(request_id):
                held_message = self._held_by_id.pop(request_id, None)
                if held_message is None:
                    yield message
                else:
                    yield Feedback(
                        RequestEnded(
                            held_message.routed,
                            _guaranteed_outcome(held_message.routed),
                            None,
                        )
                    )
            case RequestEnded(routed):
                yield message
                if self._trial_by_pool.get(routed.pool) == routed.request_id:
                    del self._trial_by_pool[routed.pool]
                yield from self._release_held(routed.pool, now)
            case SuspicionChanged():
                yield from self._recheck_undecided(now)
            case TimerDue():
                yield message
                yield from self._refuse_expired(now)
                yield from self._recheck_undecided(now)

    def _check_content(
        self, message: RequestRouted | RequestAdmitted, now: Moment
    ) -> Iterable[Output]:
        routed = message.routed
        fingerprint = routed.request.fingerprint
        suspicion = self._suspicions.suspicion(fingerprint, now)
        if suspicion is Suspicion.CLEAR:
            yield replace(message, routed=replace(routed, is_trial=False))
        elif suspicion is Suspicion.SUSPECT and self._awaits_evidence(routed, now):
            self._held_by_id[routed.request_id] = message
            recheck_ms = now.monotonic_ms + MAX_UNDECIDED_MS
            yield WakeAt(min(routed.deadline_ms, recheck_ms))
        elif suspicion is Suspicion.QUARANTINED or not self._suspicions.may_retry(
            fingerprint
        ):
            yield from refuse(
                routed,
                ErrorCode.QUARANTINED,
                self.step,
                "runners crashed while they ran this content",
                outcome=_guaranteed_outcome(routed),
            )
        elif self._trial_by_pool.setdefault(routed.pool, routed.request_id) == (
            routed.request_id
        ):
            yield replace(message, routed=replace(routed, is_trial=True))
        elif len(self._held_by_id) >= MAX_HELD_REQUESTS:
            yield from refuse(
                routed,
                ErrorCode.QUEUE_FULL,
                self.step,
                "too many requests are waiting for a trial run",
                outcome=_guaranteed_outcome(routed),
            )
        else:
            self._held_by_id[routed.request_id] = message
            yield WakeAt(routed.deadline_ms)

    def _awaits_evidence(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether a request that has lost runners is held until more is known.

        Its losses suffice for a quarantine unless others share them or the last one
        turns out to be of the connection only.
        """
        fingerprint = routed.request.fingerprint
        return (
            routed.attempts_started > 0
            and len(self._held_by_id) < MAX_HELD_REQUESTS
            and not self._suspicions.may_retry(fingerprint)
            and self._suspicions.is_undecided(fingerprint, now)
        )

    def _release_held(self, pool: PoolName, now: Moment) -> Iterable[Output]:
        waiting_messages = sorted(
            (
                held_message
                for held_message in self._held_by_id.values()
                if held_message.routed.pool == pool
            ),
            key=lambda held_message: (
                held_message.routed.tier,
                held_message.routed.deadline_ms,
            ),
        )
        for held_message in waiting_messages:
            if pool in self._trial_by_pool:
                return
            del self._held_by_id[held_message.routed.request_id]
            yield from self._check_content(held_message, now)

    def _recheck_undecided(self, now: Moment) -> Iterable[Output]:
        """Check the held requests that have lost runners again."""
        undecided_messages = [
            held_message
            for held_message in self._held_by_id.values()
            if held_message.routed.attempts_started
        ]
        for held_message in undecided_messages:
            del self._held_by_id[held_message.routed.request_id]
            yield from self._check_content(held_message, now)

    def _refuse_expired(self, now: Moment) -> Iterable[Output]:
        expired_messages = [
            held_message
            for held_message in self._held_by_id.values()
            if held_message.routed.deadline_ms <= now.monotonic_ms
        ]
        for held_message in expired_messages:
            del self._held_by_id[held_message.routed.request_id]
            yield from refuse(
                held_message.routed,
                ErrorCode.DEADLINE_PASSED,
                self.step,
                "the deadline passed while the request waited for a trial run",
                outcome=_guaranteed_outcome(held_message.routed),
            )


def _guaranteed_outcome(routed: RoutedRequest) -> RunOutcome:
    """Return the run outcome that can be guaranteed before a key is claimed.

    If the route isn't idempotent, another host may have run an earlier request
    with the same key.
    """
    if routed.attempts_started == 0 and routed.route.idempotent:
        return RunOutcome.NOT_RUN
    return RunOutcome.MAY_HAVE_RUN
