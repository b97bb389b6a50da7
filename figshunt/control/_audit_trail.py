"""The trail of revisions seen, and what was refused once already."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from figshunt.types import AuditEntry, RecordAudit

MOST_ENTRIES = 256
MOST_REFUSED = 256


class AuditTrail:
    """Keeps the last entries, and which refusals were recorded already."""

    def __init__(self) -> None:
        self._entries: deque[AuditEntry] = deque(maxlen=MOST_ENTRIES)
        self._refused: OrderedDict[str, None] = OrderedDict()

    def entries(self) -> tuple[AuditEntry, ...]:
        """Return the entries that are kept, oldest first."""
        return tuple(self._entries)

    def record(self, entry: AuditEntry) -> Iterable[RecordAudit]:
        """Add an entry."""
        self._entries.append(entry)
        yield RecordAudit(entry)

    def record_refusal(self, content: str, entry: AuditEntry) -> Iterable[RecordAudit]:
        """Add an entry unless the same content was refused before."""
        if content in self._refused:
            self._refused.move_to_end(content)
            return
        self._refused[content] = None
        if len(self._refused) > MOST_REFUSED:
            self._refused.popitem(last=False)
        yield from self.record(entry)
