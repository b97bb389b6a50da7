"""How services hand messages to the core."""

from typing import Protocol

from figshunt.types import Message


class Feed(Protocol):
    """Accepts messages and carries out the effects that they give rise to."""

    def feed(self, message: Message) -> None:
        """Process one message now."""
