"""Rate limits of teams, implemented as token buckets."""

import math
from collections import OrderedDict

from figshunt.types import Moment, TeamName

MS_PER_MINUTE = 60_000
MAX_BUCKETS = 4_096


class TeamRateLimiter:
    """Keeps a token bucket for each team with a capacity of one minute's tokens.

    A bucket that hasn't been used for a minute is full, so evicting the least
    recently used bucket hardly ever allows a team more than its rate.
    """

    def __init__(self, max_buckets: int = MAX_BUCKETS) -> None:
        self._max_buckets = max_buckets
        self._buckets: OrderedDict[TeamName, tuple[float, int]] = OrderedDict()

    def acquire(self, team: TeamName, per_minute: float, now: Moment) -> int | None:
        """Take a token from the team's bucket, if one is available.

        :returns: ``None`` if a token was taken, otherwise the time in
            milliseconds until one is available.
        """
        capacity = max(1.0, per_minute)
        tokens, updated_ms = self._buckets.pop(team, (capacity, now.monotonic_ms))
        refilled_tokens = (now.monotonic_ms - updated_ms) * per_minute / MS_PER_MINUTE
        tokens = min(capacity, tokens + refilled_tokens)
        missing_tokens = max(0.0, 1.0 - tokens)
        self._buckets[team] = (
            tokens if missing_tokens else tokens - 1,
            now.monotonic_ms,
        )
        if len(self._buckets) > self._max_buckets:
            self._buckets.popitem(last=False)
        return (
            math.ceil(missing_tokens * MS_PER_MINUTE / per_minute)
            if missing_tokens
            else None
        )
