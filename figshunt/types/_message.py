"""Base class of all pipeline messages."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of all messages that a filter may receive.

    ``reaches_all`` is set if each filter that accepts a message gets it, even if
    others fail at it.
    """

    reaches_all: ClassVar[bool] = False
