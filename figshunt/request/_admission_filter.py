"""Refuses early what can't be served, before it costs anything."""

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

    It stands before the claim, so a refusal here burns no idempotency key.
    A request is refused for its deadline only if it couldn't be met with
    every slot of the pool given to its own and higher tiers: neither the
    work of a lower tier nor its floor is part of that estimate. The rate of
    the team is checked last, so that other refusals use none of it.
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
                "the expected wait and run end after the deadline",
                self._queues.retry_after_ms(routed, now),
            )
        elif (limited_ms := self._limited_ms(routed, now)) is not None:
            yield from self._refuse(
                routed,
                ErrorCode.RATE_LIMITED,
                f"team {routed.team!r} is over its requests per minute",
                limited_ms,
            )
        else:
            yield RequestAdmitted(routed)

    def _limited_ms(self, routed: RoutedRequest, now: Moment) -> int | None:
        per_minute = self._teams.requests_per_minute(routed.team)
        if per_minute is None:
            return None
        # The published rate is for all entry hosts, which share the load evenly.
        hosts = sum(self._seats.is_heard(seat, now) for seat in self._seats.seats)
        return self._rate_limiter.take(routed.team, per_minute / max(1, hosts), now)

    def _misses_deadline(self, routed: RoutedRequest, now: Moment) -> bool:
        if not self._estimates.is_fresh(routed, now):
            return False
        wait_ms = self._queues.expected_wait_ms(routed, now)
        run_ms = self._estimates.run_ms(routed, now)
        if now.monotonic_ms + wait_ms + run_ms <= routed.deadline_ms:
            return False
        return not self._queues.would_yield(routed, now)

    def _refuse(
        self, routed: RoutedRequest, code: ErrorCode, detail: str, retry_after_ms: int
    ) -> Iterable[Output]:
        yield CountEvent(
            "admission_refusals", {"route": routed.route.name, "code": code.value}
        )
        yield from refuse(
            routed, code, self.step, detail, retry_after_ms=retry_after_ms
        )
