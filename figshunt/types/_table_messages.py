"""Messages and effects about reading the tables and bringing them into force."""

from dataclasses import dataclass

from figshunt.types._audit import AuditEntry
from figshunt.types._effects import Effect
from figshunt.types._message import Message


@dataclass(frozen=True, slots=True)
class TableServiceRead(Message):
    """A read of the configuration service ended; the values may be unchanged."""

    succeeded: bool
    detail: str = ""


@dataclass(frozen=True, slots=True)
class TableReadsChanged(Message):
    """This daemon's reads of the configuration service began or ceased to fail."""

    reads_succeed: bool


@dataclass(frozen=True, slots=True)
class WatchTables(Effect):
    """Watch the configuration service, or stop.

    With ``restart``, read it afresh even if a watch is held open.
    """

    wanted: bool
    restart: bool = False


@dataclass(frozen=True, slots=True)
class SetReady(Effect):
    """Report the daemon as ready for new callers, or as not ready."""

    is_ready: bool


@dataclass(frozen=True, slots=True)
class RecordAudit(Effect):
    """Write one entry of the audit trail to the log."""

    entry: AuditEntry
