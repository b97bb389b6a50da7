"""Limits the memory for heads and trailers of all requests that aren't whole."""

from typing import Protocol

# Limit for all connections together if the memory isn't known: 64 of the largest
# heads, each of which takes up to four times its size in the HTTP library.
MAX_HELD_HEAD_BYTES = 4 * 1024 * 1024


class HeadHolder(Protocol):
    """A connection that holds parts of requests."""

    def refuse_for_memory(self) -> None:
        """Drop what is held, and refuse the requests that it belongs to."""


class HeadBudget:
    """Counts the bytes of heads and trailers of requests that nobody serves yet.

    While all connections together exceed the limit, the one that holds most is
    refused, so that callers with small heads get through beside large ones.
    """

    def __init__(self, max_bytes: int = MAX_HELD_HEAD_BYTES) -> None:
        self._max_bytes = max_bytes
        self._sizes_by_holder: dict[HeadHolder, int] = {}
        self.held_bytes = 0

    def hold(self, holder: HeadHolder, size_bytes: int) -> None:
        """Count what a connection holds now, and refuse others if that is too much."""
        previous_bytes = self._sizes_by_holder.pop(holder, 0)
        self.held_bytes += size_bytes - previous_bytes
        if size_bytes:
            self._sizes_by_holder[holder] = size_bytes
        if size_bytes <= previous_bytes:
            return
        while self.held_bytes > self._max_bytes:
            sizes = self._sizes_by_holder
            largest = max(sizes, key=sizes.__getitem__)
            self.held_bytes -= sizes.pop(largest)
            largest.refuse_for_memory()
