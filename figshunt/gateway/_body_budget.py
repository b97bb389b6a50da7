"""Limits the memory for the bodies of all requests in progress."""

# Limit for the large bodies of all requests together, about a fifth of the memory of
# the smallest known hosts. Several copies of a body may exist for a moment.
MAX_HELD_BYTES = 32 * 1024 * 1024

# Smaller bodies are always accepted, so that large ones don't keep them out.
SMALL_BODY_BYTES = 64 * 1024


class BodyBudget:
    """Counts the bytes of the large request bodies that this host holds."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    def try_reserve(self, size_bytes: int, added_bytes: int) -> bool:
        """Count bytes of a body before they are read.

        :param size_bytes: size of the body with the added bytes.
        :returns: whether the body may be held; if not, nothing is counted.
        """
        is_small = size_bytes <= SMALL_BODY_BYTES
        if not is_small and self.held_bytes + added_bytes > self._max_bytes:
            return False
        self.held_bytes += added_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Forget the bytes of a body that is no longer held."""
        self.held_bytes -= size_bytes
