"""Answers to keyed requests, kept for callers that repeat the key."""

from dataclasses import dataclass, field

from figshunt.claims._key_time import LedgerKey
from figshunt.types import Fingerprint, Moment, RequestId

KEPT_MS = 600_000
MOST_KEPT_BYTES = 64 * 1024 * 1024
MOST_ANSWER_BYTES = 1024 * 1024
# Rough memory of an entry besides its data.
ENTRY_BYTES = 1024


@dataclass(slots=True)
class KeptAnswer:
    """One answer; ``whole`` only once the runner's whole answer was kept."""

    request_id: RequestId
    fingerprint: Fingerprint
    begun_ms: int
    status: int = 0
    content_type: str = ""
    data: bytearray = field(default_factory=bytearray, repr=False)
    whole: bool = False


class AnswerStore:
    """Answers by team and key, at most 64 MB and 10 min; the oldest go first."""

    def __init__(self, most_bytes: int = MOST_KEPT_BYTES) -> None:
        self._most_bytes = most_bytes
        self._kept_bytes = 0
        self._answers_by_key: dict[LedgerKey, KeptAnswer] = {}

    @property
    def kept_bytes(self) -> int:
        """Return the memory that the answers take up."""
        return self._kept_bytes

    def get(self, key: LedgerKey, now: Moment) -> KeptAnswer | None:
        """Return the answer, whole or still growing."""
        self._drop_expired(now)
        return self._answers_by_key.get(key)

    def begin(
        self,
        key: LedgerKey,
        request_id: RequestId,
        fingerprint: Fingerprint,
        now: Moment,
    ) -> None:
        """Begin to keep the answer of an attempt, in place of one that failed."""
        self._drop_expired(now)
        self.drop(key)
        answer = KeptAnswer(request_id, fingerprint, now.monotonic_ms)
        self._answers_by_key[key] = answer
        self._kept_bytes += ENTRY_BYTES
        self._make_room()

    def set_head(self, key: LedgerKey, status: int, content_type: str) -> None:
        """Keep the status and type of the answer."""
        answer = self._answers_by_key.get(key)
        if answer is not None:
            answer.status = status
            answer.content_type = content_type

    def append(self, key: LedgerKey, data: bytes) -> None:
        """Keep a part; an answer that grows too large isn't kept at all."""
        answer = self._answers_by_key.get(key)
        if answer is None:
            return
        if len(answer.data) + len(data) > MOST_ANSWER_BYTES:
            self.drop(key)
            return
        answer.data.extend(data)
        self._kept_bytes += len(data)
        self._make_room()

    def drop(self, key: LedgerKey) -> None:
        """Forget an answer."""
        answer = self._answers_by_key.pop(key, None)
        if answer is not None:
            self._kept_bytes -= ENTRY_BYTES + len(answer.data)

    def _make_room(self) -> None:
        while self._kept_bytes > self._most_bytes:
            self.drop(next(iter(self._answers_by_key)))

    def _drop_expired(self, now: Moment) -> None:
        while self._answers_by_key:
            key, answer = next(iter(self._answers_by_key.items()))
            if now.monotonic_ms - answer.begun_ms < KEPT_MS:
                return
            self.drop(key)
