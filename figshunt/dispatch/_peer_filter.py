"""Owns what this host knows of the others."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from figshunt.dispatch._cold_limit import HostRank
from figshunt.dispatch._messages import HostStatus, PeerHeard
from figshunt.pipeline import Output
from figshunt.types import (
    HostName,
    LogEvent,
    LogValue,
    Message,
    Moment,
    Step,
    TimerDue,
)

# A peer that wasn't heard of for this long is counted as lost.
PEER_LOST_MS = 2_500

# Lost peers still count in shared bounds for this long, since a host that is
# cut off from its peers may go on sending.
PEER_COUNTED_MS = 60_000

# Hosts that a host which has just started assumes, until it had time to hear
# from all of them.
ASSUMED_HOSTS = 12
SETTLING_MS = 4_000


class PeersView(Protocol):
    """Read access to the known hosts."""

    def rank(self, now: Moment) -> HostRank:
        """Return this host's place among the hosts that may share a bound."""


class PeerFilter:
    """Remembers the last status of each peer.

    A status of an older process of the same host is dropped.
    """

    step = Step.PEERS
    accepts: tuple[type[Message], ...] = (PeerHeard, TimerDue)

    def __init__(self, host: HostName) -> None:
        self._host = host
        self._started_ms: int | None = None
        self._heard_ms_by_host: dict[HostName, int] = {}
        self._statuses_by_host: dict[HostName, HostStatus] = {}
        self._lost: set[HostName] = set()

    def statuses(self) -> Mapping[HostName, HostStatus]:
        """Return the last status of each peer that was heard lately."""
        return {
            host: status
            for host, status in self._statuses_by_host.items()
            if host not in self._lost
        }

    def rank(self, now: Moment) -> HostRank:
        """Return this host's place among the hosts that may share a bound.

        Hosts that know of the same hosts come to different places.
        """
        before = sum(1 for host in self._heard_ms_by_host if host < self._host)
        return HostRank(before, self._count_hosts(now))

    def _count_hosts(self, now: Moment) -> int:
        known = 1 + len(self._heard_ms_by_host)
        started_ms = self._started_ms
        if started_ms is None or now.monotonic_ms - started_ms < SETTLING_MS:
            return max(known, ASSUMED_HOSTS)
        return known

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        if self._started_ms is None:
            self._started_ms = now.monotonic_ms
        match message:
            case PeerHeard(status):
                yield from self._hear(status, now)
            case TimerDue():
                yield from self._lose_silent(now)
                yield message

    def _hear(self, status: HostStatus, now: Moment) -> Iterable[Output]:
        held = self._statuses_by_host.get(status.host)
        if held is not None and status.incarnation < held.incarnation:
            return
        is_new = held is None or status.host in self._lost
        self._statuses_by_host[status.host] = status
        self._heard_ms_by_host[status.host] = now.monotonic_ms
        self._lost.discard(status.host)
        if is_new or (held and held.incarnation != status.incarnation):
            fields: dict[str, LogValue] = {
                "peer": status.host,
                "incarnation": status.incarnation,
            }
            yield LogEvent("peer_heard", self.step, fields)
        yield PeerHeard(status)

    def _lose_silent(self, now: Moment) -> Iterable[Output]:
        for host, heard_ms in tuple(self._heard_ms_by_host.items()):
            silent_ms = now.monotonic_ms - heard_ms
            if silent_ms > PEER_COUNTED_MS:
                del self._heard_ms_by_host[host]
                del self._statuses_by_host[host]
                self._lost.discard(host)
            elif silent_ms > PEER_LOST_MS and host not in self._lost:
                self._lost.add(host)
                fields: dict[str, LogValue] = {"peer": host, "silent_ms": silent_ms}
                yield LogEvent("peer_lost", self.step, fields)
