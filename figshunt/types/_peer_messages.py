"""Messages between daemons of one cell.

The codec adds the message kind and the protocol version.
"""

from dataclasses import dataclass

from figshunt.types._identifiers import RevisionNumber


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base class of all messages that one daemon sends to another."""


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Sent to every seat at a fixed interval; its absence means lost contact.

    ``stamp`` is opaque to the addressee, which returns it as ``echo``.
    ``reads_tables`` is false while the sender's reads of the configuration
    service fail.
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
    """Announces the revision in force, or zero if there is none yet.

    ``answers`` is the number of the query that this message answers, if any.
    """

    revision: RevisionNumber
    answers: int | None = None


@dataclass(frozen=True, slots=True)
class TablesRequest(PeerMessage):
    """Requests a peer's tables if their revision is higher than ``above``."""

    above: RevisionNumber


@dataclass(frozen=True, slots=True)
class TablesTransfer(PeerMessage):
    """Both table documents of one revision, as published."""

    revision: RevisionNumber
    routes: str
    pools: str
