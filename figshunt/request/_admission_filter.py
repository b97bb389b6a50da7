"""Admission control: refuses requests that can't be served in time."""

from collections.abc import Iterable

from figshunt.control import SeatsView
from figshunt.pipeline import Output
from figshunt.policy import ServiceEstimates, TeamRateLimiter
from figshunt.request._queue_view import QueueView
from figshunt.request._refusal import refuse
from figshunt.request._table_teams import TableTeams
from figshunt.types import (
    CountEvent,
    ErrorCode,
    Message,
    Moment,
    RequestAdmitted,
    RequestRouted,
    RoutedRequest,
    Step,
)


class AdmissionFilter:
    """Turns :class:`RequestRouted` into :class:`RequestAdmitted`.

    It runs before the idempotency key is claimed, so a refused request can be
    repeated with the same key. A request is only refused because of its
    deadline if the deadline couldn't be met even with all slots of the pool
    given to its own and higher tiers: the estimate excludes the work of lower
    tiers and their floors. The team's rate limit is checked last, so that
    requests refused for another reason don't count towards it.
    """

    step = Step.ADMISSION
    accepts: tuple[type[Message], ...] = (RequestRouted,)

    def __init__(
        self,
        teams: TableTeams,
        seats: SeatsView,
        queues: QueueView,
        estimates: ServiceEstimates,
    ) -> None:
        self._teams = teams
        self._seats = seats
        self._queues = queues
        self._estimates = estimates
        self._rate_limiter = TeamRateLimiter()

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        assert isinstance(message, RequestRouted)
        routed = message.routed
        if not self._queues.has_room(routed, now):
            yield from self._refuse(
                routed,
                ErrorCode.QUEUE_FULL,
                f"the queue of pool {routed.pool!r} is full",
                self._queues.retry_after_ms(routed, now),
            )
        elif self._misses_deadline(routed, now):
            yield from self._refuse(
                routed,
                ErrorCode.DEADLINE_UNREACHABLE,
                "the request is not expected to finish before its deadline",
                self._queues.retry_after_ms(routed, now),
            )
        elif (delay_ms := self._rate_limit_delay_ms(routed, now)) is not None:
            yield from self._refuse(
                routed,
                ErrorCode.RATE_LIMITED,
                f"team {routed.team!r} exceeded its requests per minute",
                delay_ms,
            )
        else:
            yield RequestAdmitted(routed)

    def _rate_limit_delay_ms(self, routed: RoutedRequest, now: Moment) -> int | None:
        per_minute = self._teams.requests_per_minute(routed.team)
        if per_minute is None:
            return None
        # The published rate is for all entry hosts together. The load is spread
        # evenly over them, so each host enforces an equal part of the rate.
        host_count = sum(
            self._seats.is_reachable(seat, now) for seat in self._seats.seats
        )
        return self._rate_limiter.acquire(
            routed.team, per_minute / max(1, host_count), now
        )

    def _misses_deadline(self, routed: RoutedRequest, now: Moment) -> bool:
        if not self._estimates.has_recent_samples(routed, now):
            return False
        wait_ms = self._queues.expected_wait_ms(routed, now)
        run_ms = self._estimates.run_ms(routed, now)
        if now.monotonic_ms + wait_ms + run_ms <= routed.deadline_ms:
            return False
        return not self._queues.can_preempt_for(routed, now)

    def _refuse(
        self, routed: RoutedRequest, code: ErrorCode, detail: str, retry_after_ms: int
    ) -> Iterable[Output]:
        yield CountEvent(
            "admission_refusals", {"route": routed.route.name, "code": code.value}
        )
        yield from refuse(
            routed, code, self.step, detail, retry_after_ms=retry_after_ms
        )
