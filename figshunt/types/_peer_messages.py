"""Messages between daemons of one cell; the codec adds kind and version."""

from dataclasses import dataclass

from figshunt.types._identifiers import RevisionNumber


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base of everything that one daemon sends to another."""


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Sent to every seat at a fixed interval; its absence means lost contact.

    ``stamp`` means something only to the sender; the addressee sends it back
    as ``echo``. ``reads_tables`` is false while the sender's reads of the
    configuration service fail.
    """

    revision: RevisionNumber
    draining: bool
    reads_tables: bool
    stamp: int = 0
    echo: int | None = None


@dataclass(frozen=True, slots=True)
class RevisionQuery(PeerMessage):
    """Asks for the revision in force; ``number`` is opaque to the addressee."""

    number: int


@dataclass(frozen=True, slots=True)
class TablesAnnounce(PeerMessage):
    """Tells the revision in force; zero if there is none yet.

    ``answers`` is the number of the query that this answers, if it does.
    """

    revision: RevisionNumber
    answers: int | None = None


@dataclass(frozen=True, slots=True)
class TablesRequest(PeerMessage):
    """Asks a peer for its tables if they are newer than ``above``."""

    above: RevisionNumber


@dataclass(frozen=True, slots=True)
class TablesTransfer(PeerMessage):
    """Both table documents of one revision, as published."""

    revision: RevisionNumber
    routes: str
    pools: str
