"""Base class of all pipeline messages."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """Base class of all messages that a filter may receive."""
