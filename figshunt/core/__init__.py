"""The decision core of one daemon."""

from figshunt.core._core import (
    Core,
)

__all__ = [
    "Core",
]
