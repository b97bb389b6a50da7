"""Times of a planned stop."""

from dataclasses import dataclass

from figshunt.dispatch import DrainStarted
from figshunt.types import Moment

# The platform checks readiness once a second and routes callers elsewhere after two
# failed checks.
ACCEPT_MS = 2_600

# A call that a caller has begun to send by then is received within this time.
RECEIVE_MS = 300

# Parts of the grace period that are reserved for answering open requests and for the
# end of the process.
ANSWER_MARGIN_MS = 1_000
EXIT_MARGIN_MS = 700


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """When the steps of a planned stop end, in ms after its start.

    New connections are accepted until ``accept_ms``. Open requests are completed until
    ``answer_ms`` and then answered with an error. Answers are delivered until
    ``close_ms``.
    """

    accept_ms: int
    answer_ms: int
    close_ms: int

    @classmethod
    def for_grace(cls, grace_ms: int) -> "DrainPlan":
        """Return the plan for a grace period, after which the process is killed."""
        answer_ms = max(0, grace_ms - ANSWER_MARGIN_MS)
        return cls(
            min(ACCEPT_MS, answer_ms // 2),
            answer_ms,
            max(0, grace_ms - EXIT_MARGIN_MS),
        )

    def start_message(self, now: Moment) -> DrainStarted:
        """Return the message for the core if the stop starts now."""
        return DrainStarted(
            now.monotonic_ms + min(self.accept_ms + RECEIVE_MS, self.answer_ms),
            now.monotonic_ms + self.answer_ms,
        )
