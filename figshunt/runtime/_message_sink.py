"""The interface through which services pass messages to the core."""

from typing import Protocol

from figshunt.types import Message


class MessageSink(Protocol):
    """Accepts messages and applies the effects that result from them."""

    def submit(self, message: Message) -> None:
        """Process one message synchronously."""
