"""Messages and effects for reading the tables and putting them into force."""

from dataclasses import dataclass

from figshunt.types._audit import AuditEntry
from figshunt.types._effects import Effect
from figshunt.types._message import Message


@dataclass(frozen=True, slots=True)
class TableServiceRead(Message):
    """A read of the configuration service ended; the tables may be unchanged."""

    succeeded: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TableReadsChanged(Message):
    """Reads of the configuration service started or stopped failing."""

    reads_succeed: bool


@dataclass(frozen=True, slots=True)
class WatchTables(Effect):
    """Start or stop watching the configuration service.

    With ``restart``, read the service again even if a watch is open.
    """

    enabled: bool
    restart: bool = False


@dataclass(frozen=True, slots=True)
class SetReady(Effect):
    """Report whether the daemon is ready for new requests."""

    is_ready: bool


@dataclass(frozen=True, slots=True)
class RecordAudit(Effect):
    """Write one entry of the audit trail to the log."""

    entry: AuditEntry
