"""Token buckets of teams with a published rate."""

import math
from collections import OrderedDict

from figshunt.types import Moment, TeamName

MINUTE_MS = 60_000
MOST_BUCKETS = 4_096


class TeamRateLimiter:
    """One token bucket for each team; it holds one minute's worth.

    A bucket that wasn't used for a minute is full, so evicting the one that
    was used least recently hardly ever gives a team more than its rate.
    """

    def __init__(self, most_buckets: int = MOST_BUCKETS) -> None:
        self._most_buckets = most_buckets
        self._buckets: OrderedDict[TeamName, tuple[float, int]] = OrderedDict()

    def take(self, team: TeamName, per_minute: float, now: Moment) -> int | None:
        """Take one token.

        :returns: ``None`` if there was one, else the time until there is, in
            milliseconds.
        """
        size = max(1.0, per_minute)
        tokens, since_ms = self._buckets.pop(team, (size, now.monotonic_ms))
        gained = (now.monotonic_ms - since_ms) * per_minute / MINUTE_MS
        tokens = min(size, tokens + gained)
        missing = max(0.0, 1.0 - tokens)
        self._buckets[team] = (tokens if missing else tokens - 1, now.monotonic_ms)
        if len(self._buckets) > self._most_buckets:
            self._buckets.popitem(last=False)
        return math.ceil(missing * MINUTE_MS / per_minute) if missing else None
