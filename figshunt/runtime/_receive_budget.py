"""Limits the memory for what servers have sent and this process hasn't passed on."""

# Limit for incomplete heads, events and bodies of all connections together, about a
# tenth of the memory of the smallest known hosts. Buffers and parsers take several
# times the bytes themselves.
MAX_RECEIVED_BYTES = 16 * 1024 * 1024

# What a request's connections to its caller and its server take besides received
# bytes: objects of the HTTP library, the tasks and the request itself.
CONNECTION_BYTES = 48 * 1024

# Shares shrink to this part of the limit at most, so that small answers are received
# beside any number of connections.
MIN_LIMIT_PART = 8


class ReceiveBudget:
    """Counts the bytes that connections hold.

    While all connections together exceed the limit, none may grow beyond an equal
    share of it. Small answers are thus received even while servers in trouble send
    bytes without end.

    :param connections_bytes: memory for the connections themselves; what they take
        beyond that lowers the limit. ``None`` if they don't count.
    """

    def __init__(
        self,
        max_bytes: int = MAX_RECEIVED_BYTES,
        connections_bytes: int | None = None,
    ) -> None:
        self._max_bytes = max_bytes
        self._connections_bytes = connections_bytes
        self.held_bytes = 0
        self.holders = 0
        self.connections = 0

    @property
    def limit_bytes(self) -> int:
        """Return the limit beside the connections that are open now."""
        if self._connections_bytes is None:
            return self._max_bytes
        excess_bytes = self.connections * CONNECTION_BYTES - self._connections_bytes
        return max(
            self._max_bytes // MIN_LIMIT_PART, self._max_bytes - max(0, excess_bytes)
        )

    def open_share(self) -> "ReceiveShare":
        """Return the share of one more connection, which holds nothing yet."""
        self.connections += 1
        return ReceiveShare(self)

    def has_room(self, size_bytes: int) -> bool:
        """Return whether one of the holders may hold so much."""
        limit_bytes = self.limit_bytes
        return self.held_bytes <= limit_bytes or size_bytes <= limit_bytes // max(
            1, self.holders
        )


class ReceiveShare:
    """What one connection holds of a budget."""

    def __init__(self, budget: ReceiveBudget) -> None:
        self._budget = budget
        self._size_bytes = 0
        self._is_open = True

    def try_grow(self, added_bytes: int) -> bool:
        """Count bytes that were received and return whether they may be held."""
        if not self._size_bytes and added_bytes:
            self._budget.holders += 1
        self._size_bytes += added_bytes
        self._budget.held_bytes += added_bytes
        return self._budget.has_room(self._size_bytes)

    def keep(self, size_bytes: int) -> None:
        """Count only this many bytes; the others were passed on or dropped."""
        self._budget.holders += bool(size_bytes) - bool(self._size_bytes)
        self._budget.held_bytes += size_bytes - self._size_bytes
        self._size_bytes = size_bytes

    def release(self) -> None:
        """Forget the bytes, which were passed on or dropped."""
        self.keep(0)

    def close(self) -> None:
        """Forget the connection and the bytes."""
        self.release()
        self._budget.connections -= self._is_open
        self._is_open = False
