"""What a runner still has to read, from what all hosts have sent to it."""

from collections import deque
from dataclasses import dataclass

from figshunt.types import AttemptId

# An engine that has nothing to read for this long, about the time of one event,
# has let the streams beside the reading go on.
READING_PAUSE_MS = 25

# A first event that comes this much later than expected shows that the runner
# is behind the estimate; less is noise of the estimate.
BEHIND_MS = 60

# Sends whose prompts are taken to be read later than those of earlier sends.
MOST_UNREAD = 256


@dataclass(frozen=True, slots=True)
class PromptRead:
    """A prompt that was sent, with the time that reading it takes."""

    attempt_id: AttemptId | None
    reading_ms: float


class ReadingQueue:
    """Prompts that wait to be read, worked off at a constant rate.

    First events that come later than expected move the end of the queue.
    """

    def __init__(self) -> None:
        self._ends_ms = 0.0
        self._busy_ms = 0.0
        self._reads: deque[PromptRead] = deque(maxlen=MOST_UNREAD)

    def backlog_ms(self, now_ms: int) -> float:
        """Return how long the runner still reads what it was sent."""
        return max(0.0, self._ends_ms - now_ms)

    def busy_ms(self, now_ms: int) -> float:
        """Return how much the runner reads without a pause, done or to come."""
        if now_ms > self._ends_ms + READING_PAUSE_MS:
            return 0.0
        return self._busy_ms

    def add(
        self, reading_ms: float, now_ms: int, attempt_id: AttemptId | None = None
    ) -> int:
        """Add a prompt; return when it is expected to be read."""
        self._busy_ms = self.busy_ms(now_ms) + reading_ms
        self._reads.append(PromptRead(attempt_id, reading_ms))
        self._ends_ms = max(self._ends_ms, float(now_ms)) + reading_ms
        return int(self._ends_ms)

    def observe_begun(self, attempt_id: AttemptId, now_ms: int) -> bool:
        """Correct the queue by a send whose prompt has just been read.

        Prompts are read about in the order in which they were sent, so what
        was sent later is still to be read. The estimate is only raised: a
        short prompt may be read before a long one that was sent earlier.

        :returns: whether the runner was behind the estimate.
        """
        if all(one.attempt_id != attempt_id for one in self._reads):
            return False
        while self._reads.popleft().attempt_id != attempt_id:
            continue
        left_ms = sum(one.reading_ms for one in self._reads)
        return self.raise_backlog(left_ms, now_ms)

    def raise_backlog(self, backlog_ms: float, now_ms: int) -> bool:
        """Lengthen the queue if it is shorter; return whether it was by much."""
        behind_ms = now_ms + backlog_ms - self._ends_ms
        if behind_ms <= BEHIND_MS:
            return False
        self._busy_ms = self.busy_ms(now_ms) + behind_ms
        self._ends_ms = now_ms + backlog_ms
        return True
