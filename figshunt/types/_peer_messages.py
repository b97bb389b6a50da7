"""Messages between daemons of one cell; the codec adds kind and version."""

from dataclasses import dataclass

from figshunt.types._identifiers import RevisionNumber


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Base of everything that one daemon sends to another."""


@dataclass(frozen=True, slots=True)
class Heartbeat(PeerMessage):
    """Sent to every seat at a fixed interval; its absence means lost contact."""

    revision: RevisionNumber
    draining: bool
    reads_tables: bool


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
