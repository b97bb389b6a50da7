"""A message sink for tests of services without a core."""

from collections.abc import Callable
from typing import TypeVar

from figshunt.types import Message

MessageType = TypeVar("MessageType", bound=Message)


class RecordingMessageSink:
    """Records the messages that a service passes to the core.

    ``on_submit`` is called with each of them.
    """

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.on_submit: Callable[[Message], None] = lambda message: None

    def submit(self, message: Message) -> None:
        """Record a message."""
        self.messages.append(message)
        self.on_submit(message)

    def of_type(self, message_type: type[MessageType]) -> list[MessageType]:
        """Return the recorded messages of one type."""
        return [
            message for message in self.messages if isinstance(message, message_type)
        ]
