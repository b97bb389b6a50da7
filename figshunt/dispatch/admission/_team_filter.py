"""Finds the team of a call by the caller's key."""

import hashlib
import random
from collections.abc import Iterable

from figshunt.directory import (
    Configuration,
    DirectoryView,
    PublishedRoute,
    PublishedTeam,
)
from figshunt.dispatch._call import Call, RoutedCall
from figshunt.dispatch._messages import CallMatched, CallRouted
from figshunt.dispatch.admission._priority_scale import PriorityScale
from figshunt.dispatch.admission._refusal import refuse_call
from figshunt.dispatch.admission._route_filter import NOT_READY_RETRY_MS
from figshunt.pipeline import Output
from figshunt.types import (
    CountEvent,
    ErrorCode,
    Message,
    Moment,
    PoolName,
    RunOutcome,
    Step,
)


class TeamFilter:
    """Adds the team, urgency, priority, deadline and pool to a call.

    If a route has several pools, one is chosen at random by their weights.
    """

    step = Step.TEAM
    accepts: tuple[type[Message], ...] = (CallMatched,)

    def __init__(self, directory: DirectoryView, random_source: random.Random) -> None:
        self._directory = directory
        self._random = random_source
        self._scaled_configuration: Configuration | None = None
        self._priority_scale: PriorityScale | None = None

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        assert isinstance(message, CallMatched)
        call, route = message.call, message.route
        team = self._find_team(call)
        configuration = self._directory.configuration
        assert configuration is not None
        needs_key = configuration.requires_caller_key and not route.is_public
        if needs_key and team is None:
            is_current = self._directory.is_current
            yield from refuse_call(
                call.call_id,
                ErrorCode.UNKNOWN_TEAM if is_current else ErrorCode.NOT_READY,
                self.step,
                RunOutcome.NOT_RUN,
                retry_after_ms=None if is_current else NOT_READY_RETRY_MS,
                version=configuration.version,
                has_key=call.caller_key is not None,
            )
            return
        urgency = route.urgency
        if team is not None and team.urgency is not None:
            urgency = team.urgency
        yield CountEvent("calls", {"route": route.name})
        yield CallRouted(
            RoutedCall(
                call=call,
                route=route,
                pool=self._choose_pool(route),
                team=team.name if team else None,
                urgency=urgency,
                priority=self._scale_for(configuration).priority(
                    urgency, route.urgency
                ),
                deadline_ms=call.received.monotonic_ms + _time_limit_ms(call, route),
            )
        )

    def _scale_for(self, configuration: Configuration) -> PriorityScale:
        """Return the priority scale, which changes only with the configuration."""
        if (
            self._priority_scale is None
            or configuration is not self._scaled_configuration
        ):
            self._priority_scale = PriorityScale(configuration)
            self._scaled_configuration = configuration
        return self._priority_scale

    def _find_team(self, call: Call) -> PublishedTeam | None:
        configuration = self._directory.configuration
        if configuration is None or call.caller_key is None:
            return None
        digest = hashlib.sha256(call.caller_key.encode()).hexdigest()
        return configuration.teams_by_key_sha256.get(digest)

    def _choose_pool(self, route: PublishedRoute) -> PoolName:
        shares = route.pool_shares
        if len(shares) == 1:
            return shares[0].pool
        weights = [share.weight for share in shares]
        return self._random.choices(shares, weights)[0].pool


def _time_limit_ms(call: Call, route: PublishedRoute) -> int:
    if call.time_limit_ms is None:
        return route.timeout_ms
    return min(call.time_limit_ms, route.timeout_ms)
