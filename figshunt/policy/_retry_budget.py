"""Bounds retries to a part of recent requests, so outages don't multiply load."""

from collections import deque

from figshunt.types import Moment

WINDOW_MS = 10_000
RETRY_SHARE = 0.1

# A runner that crashes loses its whole batch at once; with fewer retries than
# that, innocent requests of the batch would fail although capacity is left.
LEAST_RETRIES = 32


class RetryBudget:
    """Allows retries up to a share of the first tries in a sliding window.

    :param share: retries allowed for each first try.
    :param least: retries always allowed in one window; may be changed later.
    :param window_ms: length of the window.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        least: int = LEAST_RETRIES,
        window_ms: int = WINDOW_MS,
    ) -> None:
        self._share = share
        self.least = least
        self._window_ms = window_ms
        self._first_tries_ms: deque[int] = deque()
        self._retries_ms: deque[int] = deque()

    def record_first_try(self, now: Moment) -> None:
        """Count a request that started its first attempt."""
        self._first_tries_ms.append(now.monotonic_ms)

    def take_retry(self, now: Moment) -> bool:
        """Return whether one more attempt is within the budget, and count it."""
        oldest_ms = now.monotonic_ms - self._window_ms
        for times_ms in (self._first_tries_ms, self._retries_ms):
            while times_ms and times_ms[0] < oldest_ms:
                times_ms.popleft()
        allowed = max(self.least, int(self._share * len(self._first_tries_ms)))
        if len(self._retries_ms) >= allowed:
            return False
        self._retries_ms.append(now.monotonic_ms)
        return True
