"""The interface between filters and the pipeline."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from figshunt.types import Effect, Message, Moment, Step


@dataclass(frozen=True, slots=True)
class Feedback:
    """Wraps a message to be processed from the first filter on.

    It is processed after the current message and those queued before it.
    """

    message: Message


Output = Message | Effect | Feedback


class Filter(Protocol):
    """One stage of the pipeline.

    A filter only receives messages whose exact type is listed in ``accepts``;
    messages of other types bypass it. It forwards a message by yielding it; a
    message that it doesn't yield goes no further.
    """

    @property
    def step(self) -> Step:
        """Return the step reported in errors and log lines of this filter."""

    @property
    def accepts(self) -> tuple[type[Message], ...]:
        """Return the message types that this filter receives."""

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Process a message and yield the resulting messages and effects."""
