"""The contract of one filter."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from figshunt.types import Effect, Message, Moment, Step


@dataclass(frozen=True, slots=True)
class Feedback:
    """Sends ``message`` back to the first filter after the current message."""

    message: Message


Output = Message | Effect | Feedback


class Filter(Protocol):
    """One job in the chain.

    A filter sees only the message types in ``accepts`` (exact types); all
    others pass it by. It passes a message on by yielding it.
    """

    @property
    def step(self) -> Step:
        """Return the step that errors and log lines of this filter carry."""

    @property
    def accepts(self) -> tuple[type[Message], ...]:
        """Return the message types that this filter wants to see."""

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message at the moment ``now``."""
