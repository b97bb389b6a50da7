"""Estimates a runner's queue of prompts from the requests that all hosts sent."""

from collections import deque
from dataclasses import dataclass

from figshunt.types import AttemptId

# A busy period ends after an idle time of this length, about the time of one
# event: the streams of the engine have continued by then.
PREFILL_PAUSE_MS = 25

# A runner lags behind the estimate if a first event is late by more than this.
# Smaller delays are within the error of the estimate.
MIN_LAG_MS = 60

# Length of the history of prompts that may still be waiting. The oldest entries
# are dropped first.
MAX_PENDING_PREFILLS = 256


@dataclass(frozen=True, slots=True)
class PendingPrefill:
    """A prompt that was sent to the runner, with its expected prefill time."""

    attempt_id: AttemptId | None
    prefill_ms: float


class PrefillQueue:
    """The prompts that wait for prefill, processed one after the other.

    First events that arrive later than expected extend the queue.
    """

    def __init__(self) -> None:
        self._end_ms = 0.0
        self._busy_ms = 0.0
        self._pending: deque[PendingPrefill] = deque(maxlen=MAX_PENDING_PREFILLS)

    def backlog_ms(self, now_ms: int) -> float:
        """Return the remaining prefill time of the prompts sent so far."""
        return max(0.0, self._end_ms - now_ms)

    def busy_ms(self, now_ms: int) -> float:
        """Return the length of the current busy period, past and queued prefill."""
        if now_ms > self._end_ms + PREFILL_PAUSE_MS:
            return 0.0
        return self._busy_ms

    def add(
        self, prefill_ms: float, now_ms: int, attempt_id: AttemptId | None = None
    ) -> int:
        """Add a prompt and return the expected end of its prefill."""
        self._busy_ms = self.busy_ms(now_ms) + prefill_ms
        self._pending.append(PendingPrefill(attempt_id, prefill_ms))
        self._end_ms = max(self._end_ms, float(now_ms)) + prefill_ms
        return int(self._end_ms)

    def observe_first_event(self, attempt_id: AttemptId, now_ms: int) -> bool:
        """Update the queue from an attempt whose prefill has just ended.

        Prompts are processed roughly in the order in which they were sent, so
        the later ones are still waiting. The estimate is only raised, since a
        short prompt may be processed before a long one that was sent earlier.

        :returns: whether the runner lagged behind the estimate.
        """
        if all(prompt.attempt_id != attempt_id for prompt in self._pending):
            return False
        while self._pending.popleft().attempt_id != attempt_id:
            continue
        remaining_ms = sum(prompt.prefill_ms for prompt in self._pending)
        return self.raise_backlog(remaining_ms, now_ms)

    def raise_backlog(self, backlog_ms: float, now_ms: int) -> bool:
        """Raise the backlog to ``backlog_ms`` if the estimate lags behind it.

        Differences up to ``MIN_LAG_MS`` are ignored.

        :returns: whether the backlog was raised.
        """
        lag_ms = now_ms + backlog_ms - self._end_ms
        if lag_ms <= MIN_LAG_MS:
            return False
        self._busy_ms = self.busy_ms(now_ms) + lag_ms
        self._end_ms = now_ms + backlog_ms
        return True
