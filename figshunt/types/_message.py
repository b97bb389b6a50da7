"""Base class of all pipeline messages."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """Base of everything that a filter may receive."""
