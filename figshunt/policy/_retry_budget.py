"""Limits retries relative to recent requests, so outages don't multiply load."""

from collections import deque

from figshunt.types import Moment

RETRY_WINDOW_MS = 10_000
RETRY_RATIO = 0.1

# A runner that crashes loses its whole batch at once. With a smaller minimum,
# requests of the batch that did not cause the crash would fail although other
# runners have capacity.
MIN_RETRIES = 32


class RetryBudget:
    """Allows retries up to a ratio of the first attempts in a sliding window.

    :param ratio: retries allowed for each first attempt.
    :param min_retries: minimum number of retries allowed in one window; the
        attribute of that name may be changed later.
    :param window_ms: length of the window.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        min_retries: int = MIN_RETRIES,
        window_ms: int = RETRY_WINDOW_MS,
    ) -> None:
        self._ratio = ratio
        self.min_retries = min_retries
        self._window_ms = window_ms
        self._first_attempts_ms: deque[int] = deque()
        self._retries_ms: deque[int] = deque()

    def record_first_attempt(self, now: Moment) -> None:
        """Record the start of a request's first attempt."""
        self._first_attempts_ms.append(now.monotonic_ms)

    def try_consume_retry(self, now: Moment) -> bool:
        """Return whether the budget allows a retry, and if so record the retry."""
        oldest_ms = now.monotonic_ms - self._window_ms
        for times_ms in (self._first_attempts_ms, self._retries_ms):
            while times_ms and times_ms[0] < oldest_ms:
                times_ms.popleft()
        max_retries = max(
            self.min_retries, int(self._ratio * len(self._first_attempts_ms))
        )
        if len(self._retries_ms) >= max_retries:
            return False
        self._retries_ms.append(now.monotonic_ms)
        return True
