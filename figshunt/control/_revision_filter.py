"""Keeps the tables in force; revisions only rise."""

from collections.abc import Iterable

from figshunt.pipeline import Output
from figshunt.tables import Tables
from figshunt.types import LogEvent, Message, Moment, Step, TablesInForce, TablesOffered


class RevisionFilter:
    """Owns the tables in force and offers them as a ``TablesView``."""

    step = Step.REVISION
    accepts: tuple[type[Message], ...] = (TablesOffered,)

    def __init__(self) -> None:
        self._tables: Tables | None = None

    def current(self) -> Tables | None:
        """Return the tables in force, or ``None`` before the first revision."""
        return self._tables

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        assert isinstance(message, TablesOffered)
        offered = message.tables
        if self._tables is not None and offered.revision <= self._tables.revision:
            return
        self._tables = offered
        yield LogEvent(
            "tables_in_force",
            self.step,
            {"revision": offered.revision, "source": message.source.value},
        )
        yield TablesInForce(offered)
