"""Messages about tables, hosts, runners, peers and the daemon itself."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from figshunt.types._identifiers import (
    DataCentreName,
    HostName,
    PoolName,
    RevisionNumber,
    RunnerId,
    SeatNumber,
    StartIdentity,
)
from figshunt.types._message import Message
from figshunt.types._states import ColdEvidence, HostState, TableSourceKind

if TYPE_CHECKING:
    from figshunt.tables import Tables
    from figshunt.types._peer_messages import PeerMessage


@dataclass(frozen=True, slots=True)
class TablesReceived(Message):
    """A valid pair of tables was received from the service or a peer.

    ``text`` holds both documents as published, for transfer to peers, and
    ``digest`` is their hash.
    """

    tables: "Tables"
    text: tuple[str, str]
    source: TableSourceKind
    peer: str
    digest: str = ""


@dataclass(frozen=True, slots=True)
class TablesRefused(Message):
    """A published pair of tables failed its checks.

    ``is_unpaired`` is true if the two documents have different revisions, which
    happens for a short time when operators publish one after the other.
    """

    revision: RevisionNumber | None
    faults: tuple[str, ...]
    source: TableSourceKind
    peer: str
    digest: str = ""
    is_unpaired: bool = False


@dataclass(frozen=True, slots=True)
class TablesInForce(Message):
    """A new revision took effect, or the host list changed the tables."""

    tables: "Tables"


@dataclass(frozen=True, slots=True)
class TablesSynchronized(Message):
    """The tables in force are the newest that this daemon can obtain now.

    Emitted once, at the end of the startup.
    """


@dataclass(frozen=True, slots=True)
class HostListEntry:
    """One entry of the platform's host list."""

    name: HostName
    data_centre: DataCentreName
    state: HostState
    pool: PoolName | None = None
    url: str | None = None


@dataclass(frozen=True, slots=True)
class HostListReceived(Message):
    """The platform's host list was read."""

    hosts: Sequence[HostListEntry]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a runner reports.

    ``completed`` is the number of requests completed since ``start``;
    ``running`` and ``queued`` are the numbers of requests from all callers;
    ``token_time_us`` is the recent mean time per generated token; ``age_ms`` is
    the age of these values.
    """

    start: StartIdentity
    completed: int
    running: int
    queued: int
    token_time_us: int
    leaving: bool
    age_ms: int


@dataclass(frozen=True, slots=True)
class LoadReported(Message):
    """A load report of a runner arrived."""

    runner_id: RunnerId
    report: LoadReport


@dataclass(frozen=True, slots=True)
class RunnerUnreachable(Message):
    """The connection to a runner failed, so the runner may have restarted."""

    runner_id: RunnerId
    evidence: ColdEvidence


@dataclass(frozen=True, slots=True)
class RunnerChanged(Message):
    """The phase or limit of a runner changed."""

    runner_id: RunnerId
    pool: PoolName


@dataclass(frozen=True, slots=True)
class PeerReceived(Message):
    """A daemon of the same cell sent a message."""

    seat: SeatNumber
    message: "PeerMessage"


@dataclass(frozen=True, slots=True)
class PeerConnected(Message):
    """The outgoing link to a seat opened."""

    seat: SeatNumber


@dataclass(frozen=True, slots=True)
class PeerDisconnected(Message):
    """The link to a seat closed."""

    seat: SeatNumber


@dataclass(frozen=True, slots=True)
class TimerDue(Message):
    """A time scheduled with :class:`figshunt.types.WakeAt` was reached."""

    reaches_all: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class ClockJumped(Message):
    """The process did not run for ``gap_ms``, so its state may be out of date."""

    reaches_all: ClassVar[bool] = True

    gap_ms: int


@dataclass(frozen=True, slots=True)
class StopRequested(Message):
    """A graceful shutdown of the daemon was requested."""

    reaches_all: ClassVar[bool] = True
