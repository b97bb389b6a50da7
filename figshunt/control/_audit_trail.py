"""The audit trail of table revisions."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from figshunt.types import AuditEntry, RecordAudit

MAX_ENTRIES = 256
MAX_REFUSED_CONTENTS = 256


class AuditTrail:
    """Keeps the most recent entries and records each refused content only once.

    The last ``MAX_REFUSED_CONTENTS`` refused contents are remembered.
    """

    def __init__(self) -> None:
        self._entries: deque[AuditEntry] = deque(maxlen=MAX_ENTRIES)
        self._refused_contents: OrderedDict[str, None] = OrderedDict()

    def entries(self) -> tuple[AuditEntry, ...]:
        """Return the retained entries, oldest first."""
        return tuple(self._entries)

    def record(self, entry: AuditEntry) -> Iterable[RecordAudit]:
        """Append an entry and emit it for the log."""
        self._entries.append(entry)
        yield RecordAudit(entry)

    def record_refusal(self, content: str, entry: AuditEntry) -> Iterable[RecordAudit]:
        """Append an entry unless a refusal of the same content is remembered.

        :param content: identifies the refused content, normally by its digest.
        """
        if content in self._refused_contents:
            self._refused_contents.move_to_end(content)
            return
        self._refused_contents[content] = None
        if len(self._refused_contents) > MAX_REFUSED_CONTENTS:
            self._refused_contents.popitem(last=False)
        yield from self.record(entry)
