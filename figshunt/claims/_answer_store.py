"""In-memory store of the answers to keyed requests."""

from dataclasses import dataclass, field

from figshunt.claims._key_time import LedgerKey
from figshunt.types import Fingerprint, Moment, RequestId

ANSWER_RETENTION_MS = 600_000
MAX_STORED_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 1024 * 1024
# Approximate memory that an entry takes up besides its data.
ENTRY_OVERHEAD_BYTES = 1024


@dataclass(slots=True)
class StoredAnswer:
    """A stored answer; complete once its request has ended without an error."""

    request_id: RequestId
    fingerprint: Fingerprint
    started_ms: int
    status: int = 0
    content_type: str = ""
    data: bytearray = field(default_factory=bytearray, repr=False)
    is_complete: bool = False


class AnswerStore:
    """Stores answers by team and key for 10 min, within 64 MB.

    The oldest answers are evicted first when the memory limit is exceeded.
    """

    def __init__(self, max_bytes: int = MAX_STORED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._stored_bytes = 0
        self._answers_by_key: dict[LedgerKey, StoredAnswer] = {}

    @property
    def stored_bytes(self) -> int:
        """Return the memory that the stored answers take up, in bytes."""
        return self._stored_bytes

    def get(self, key: LedgerKey, now: Moment) -> StoredAnswer | None:
        """Return the answer, which may be incomplete, or ``None``."""
        self._drop_expired(now)
        return self._answers_by_key.get(key)

    def start_answer(
        self,
        key: LedgerKey,
        request_id: RequestId,
        fingerprint: Fingerprint,
        now: Moment,
    ) -> None:
        """Start an empty answer for an attempt, replacing that of a failed one."""
        self._drop_expired(now)
        self.drop(key)
        answer = StoredAnswer(request_id, fingerprint, now.monotonic_ms)
        self._answers_by_key[key] = answer
        self._stored_bytes += ENTRY_OVERHEAD_BYTES
        self._evict_oldest()

    def set_head(self, key: LedgerKey, status: int, content_type: str) -> None:
        """Set the HTTP status and the content type of the answer."""
        answer = self._answers_by_key.get(key)
        if answer is not None:
            answer.status = status
            answer.content_type = content_type

    def append(self, key: LedgerKey, data: bytes) -> None:
        """Append data; an answer that exceeds the size limit is dropped."""
        answer = self._answers_by_key.get(key)
        if answer is None:
            return
        if len(answer.data) + len(data) > MAX_ANSWER_BYTES:
            self.drop(key)
            return
        answer.data.extend(data)
        self._stored_bytes += len(data)
        self._evict_oldest()

    def drop(self, key: LedgerKey) -> None:
        """Remove an answer, if there is one."""
        answer = self._answers_by_key.pop(key, None)
        if answer is not None:
            self._stored_bytes -= ENTRY_OVERHEAD_BYTES + len(answer.data)

    def _evict_oldest(self) -> None:
        while self._stored_bytes > self._max_bytes:
            self.drop(next(iter(self._answers_by_key)))

    def _drop_expired(self, now: Moment) -> None:
        while self._answers_by_key:
            key, answer = next(iter(self._answers_by_key.items()))
            if now.monotonic_ms - answer.started_ms < ANSWER_RETENTION_MS:
                return
            self.drop(key)
