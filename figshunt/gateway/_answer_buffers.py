"""Limits the memory for answers that are received completely before delivery."""

from figshunt.types import AttemptId

# As large as the largest request body that the front listener accepts.
MAX_ANSWER_BYTES = 8 * 1024 * 1024

# Limit for all incomplete answers together, about a fifth of the memory of the
# smallest known hosts.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


class AnswerTooLargeError(ValueError):
    """An answer exceeds its own limit, or its share of the limit for all answers."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"answer of {size_bytes} bytes or more is too large")
        self.size_bytes = size_bytes


class AnswerBuffers:
    """Counts the bytes of the answers that are being received.

    While all answers together exceed their limit, none may grow beyond an equal
    share of it. Small answers are thus received even while runners in trouble
    send answers without end.
    """

    def __init__(self) -> None:
        self._bytes_by_attempt: dict[AttemptId, int] = {}
        self._buffered_bytes = 0

    def grow(self, attempt_id: AttemptId, added_bytes: int) -> None:
        """Count bytes of an answer that were received.

        :raises AnswerTooLargeError: if the answer may not grow any more.
        """
        size_bytes = self._bytes_by_attempt.get(attempt_id, 0) + added_bytes
        self._bytes_by_attempt[attempt_id] = size_bytes
        self._buffered_bytes += added_bytes
        max_bytes = MAX_ANSWER_BYTES
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            max_bytes = MAX_BUFFERED_BYTES // len(self._bytes_by_attempt)
        if size_bytes > max_bytes:
            raise AnswerTooLargeError(size_bytes)

    def release(self, attempt_id: AttemptId) -> None:
        """Forget an answer that was received completely or has failed."""
        self._buffered_bytes -= self._bytes_by_attempt.pop(attempt_id, 0)
