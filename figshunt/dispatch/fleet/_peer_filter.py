"""Tracks the other entry hosts by their status messages."""

from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import Protocol

from figshunt.dispatch._messages import HostStatus, PeerStarted, PeerStatusReceived
from figshunt.dispatch.fleet._cold_limit import HostRank
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

# A peer without a status message for this long is reported as lost.
PEER_LOST_MS = 2_500

# After a silence longer than the first of these times, which several heartbeats would
# have filled, a peer's attempts are known again only after the second one.
PEER_GAP_MS = 1_500
PEER_SETTLES_MS = 800

# A peer counts towards shared bounds for this long after its last status message,
# since a host that is cut off from its peers may continue to send requests.
PEER_COUNTED_MS = 60_000

# Minimum number of hosts that a newly started host assumes until the discovery
# time is over, in which it receives a status message from every peer. A host that has
# heard none of those that its settings name goes on assuming it.
INITIAL_HOST_COUNT = 12
DISCOVERY_MS = 4_000

# Timers are due several times in this time. After a longer gap datagrams that waited
# may be read as if they had just been sent.
PAUSE_MS = 600


class PeersView(Protocol):
    """Read access to this host's rank among the known hosts."""

    def rank(self, now: Moment) -> HostRank:
        """Return this host's rank among the hosts that share a bound."""

    def is_heard(self, host: HostName) -> bool:
        """Return whether a peer sent a status lately."""

    def is_among_first(self, count: int, host: HostName | None = None) -> bool:
        """Return whether a host, or else this one, is one of so many for all."""

    def count_unheard(self, now: Moment, after_ms: int) -> float:
        """Return how many other hosts that share a bound aren't heard.

        A host counts in part until it hasn't been heard for ``after_ms``.
        """

    def oldest_heard_ms(self, now: Moment, within_ms: int) -> int:
        """Return the oldest of the times at which hosts were last heard.

        Hosts that were not heard for ``within_ms`` don't count.
        """

    def agreeing_hosts(self, now: Moment) -> frozenset[HostName]:
        """Return the peers heard lately that hear exactly the same hosts."""

    def may_miss_peers(self, age_ms: int, now: Moment) -> bool:
        """Return whether this process may have peers and is younger than that."""

    def is_undisturbed(self, for_ms: int, now: Moment) -> bool:
        """Return whether this process did not pause or lose a peer for that long.

        It is not while it knows half as many hosts as before, or fewer.
        """


class PeerFilter:
    """Stores the latest status of each peer.

    Status messages of an earlier process of the same host are dropped.
    ``expects_peers`` is set if the settings name other hosts.
    """

    step = Step.PEERS
    accepts: tuple[type[Message], ...] = (PeerStatusReceived, TimerDue)

    def __init__(self, host: HostName, expects_peers: bool = False) -> None:
        self._host = host
        self.expects_peers = expects_peers
        self._started_ms: int | None = None
        self._last_received_ms_by_host: dict[HostName, int] = {}
        self._heard_since_ms_by_host: dict[HostName, int] = {}
        self._statuses_by_host: dict[HostName, HostStatus] = {}
        self._lost_hosts: set[HostName] = set()
        self.heard_digest = _digest_hosts({host})
        self._rank = 0
        self._most_hosts = 1
        self._last_timer_ms: int | None = None
        self._disturbed_ms: int | None = None

    def statuses(self) -> Mapping[HostName, HostStatus]:
        """Return the latest status of each peer that is not lost."""
        return {
            host: status
            for host, status in self._statuses_by_host.items()
            if host not in self._lost_hosts
        }

    def is_heard(self, host: HostName) -> bool:
        """Return whether a peer sent a status lately."""
        return host in self._statuses_by_host and host not in self._lost_hosts

    def is_among_first(self, count: int, host: HostName | None = None) -> bool:
        """Return whether a host, or else this one, is one of so many for all.

        Hosts that hear the same peers agree on them.
        """
        hosts = {self._host, *self.statuses()}
        judged_host = host or self._host
        return sum(1 for other in hosts if other < judged_host) < count

    def agreeing_hosts(self, now: Moment) -> frozenset[HostName]:
        """Return the peers heard lately that hear exactly the same hosts."""
        since_ms = now.monotonic_ms - PEER_LOST_MS
        return frozenset(
            host
            for host, status in self._statuses_by_host.items()
            if status.heard_digest == self.heard_digest
            and host not in self._lost_hosts
            and self._last_received_ms_by_host[host] >= since_ms
        )

    def is_undisturbed(self, for_ms: int, now: Moment) -> bool:
        """Return whether this process did not pause or lose a peer for that long.

        It is not while it knows half as many hosts as before, or fewer.
        """
        known_hosts = 1 + len(self._last_received_ms_by_host)
        if 2 * known_hosts <= self._most_hosts:
            return False
        now_ms = now.monotonic_ms
        last_timer_ms, disturbed_ms = self._last_timer_ms, self._disturbed_ms
        if last_timer_ms is not None and now_ms - last_timer_ms > PAUSE_MS:
            return False
        return disturbed_ms is None or now_ms - disturbed_ms >= for_ms

    def may_miss_peers(self, age_ms: int, now: Moment) -> bool:
        """Return whether this process may have peers and is younger than that."""
        has_peers = self.expects_peers or bool(self._statuses_by_host)
        started_ms = self._started_ms
        return has_peers and (
            started_ms is None or now.monotonic_ms - started_ms < age_ms
        )

    def rank(self, now: Moment) -> HostRank:
        """Return this host's rank among the hosts that share a bound.

        Ranks are unique among hosts with the same set of known hosts.
        """
        return HostRank(self._rank, self._count_hosts(now))

    def count_unheard(self, now: Moment, after_ms: int) -> float:
        """Return how many other hosts that share a bound aren't heard.

        A host counts in part until it hasn't been heard for ``after_ms``.
        """
        now_ms = now.monotonic_ms
        heard = sum(
            max(0.0, 1 - (now_ms - received_ms) / after_ms)
            for host, received_ms in self._last_received_ms_by_host.items()
            if now_ms - self._heard_since_ms_by_host[host] >= PEER_SETTLES_MS
        )
        return self._count_hosts(now) - 1 - heard

    def oldest_heard_ms(self, now: Moment, within_ms: int) -> int:
        """Return the oldest of the times at which hosts were last heard.

        Hosts that were not heard for ``within_ms`` don't count.
        """
        received_ms = self._last_received_ms_by_host.values()
        since_ms = now.monotonic_ms - within_ms
        return min((ms for ms in received_ms if ms > since_ms), default=since_ms)

    def _count_hosts(self, now: Moment) -> int:
        known_hosts = 1 + len(self._last_received_ms_by_host)
        started_ms = self._started_ms
        is_discovering = (
            started_ms is None or now.monotonic_ms - started_ms < DISCOVERY_MS
        )
        # Hosts that can't find each other all send to the same runners.
        is_isolated = self.expects_peers and known_hosts == 1
        if is_discovering or is_isolated:
            return max(known_hosts, INITIAL_HOST_COUNT)
        return known_hosts

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        if self._started_ms is None:
            self._started_ms = now.monotonic_ms
        match message:
            case PeerStatusReceived(status):
                yield from self._record_status(status, now)
            case TimerDue():
                self._record_pause(now)
                yield from self._expire_silent_peers(now)
                yield message

    def _record_pause(self, now: Moment) -> None:
        last_timer_ms = self._last_timer_ms
        self._last_timer_ms = now.monotonic_ms
        if last_timer_ms is not None and now.monotonic_ms - last_timer_ms > PAUSE_MS:
            self._disturbed_ms = now.monotonic_ms

    def _update_hosts(self) -> None:
        """Compute what depends only on the sets of known and heard hosts."""
        known_hosts = self._last_received_ms_by_host
        self._rank = sum(1 for host in known_hosts if host < self._host)
        self._most_hosts = max(self._most_hosts, 1 + len(known_hosts))
        self.heard_digest = _digest_hosts({self._host, *self.statuses()})

    def _record_status(self, status: HostStatus, now: Moment) -> Iterable[Output]:
        previous = self._statuses_by_host.get(status.host)
        if previous is not None and status.incarnation < previous.incarnation:
            return
        is_new = previous is None or status.host in self._lost_hosts
        self._statuses_by_host[status.host] = status
        last_received_ms = self._last_received_ms_by_host.get(status.host)
        if (
            last_received_ms is None
            or now.monotonic_ms - last_received_ms > PEER_GAP_MS
        ):
            self._heard_since_ms_by_host[status.host] = now.monotonic_ms
        self._last_received_ms_by_host[status.host] = now.monotonic_ms
        self._lost_hosts.discard(status.host)
        if is_new:
            self._update_hosts()
        if is_new or (previous and previous.incarnation != status.incarnation):
            fields: dict[str, LogValue] = {
                "peer": status.host,
                "incarnation": status.incarnation,
            }
            yield LogEvent("peer_heard", self.step, fields)
            yield PeerStarted(status.host)
        yield PeerStatusReceived(status)

    def _expire_silent_peers(self, now: Moment) -> Iterable[Output]:
        for host, last_received_ms in tuple(self._last_received_ms_by_host.items()):
            silent_ms = now.monotonic_ms - last_received_ms
            if silent_ms > PEER_COUNTED_MS:
                del self._last_received_ms_by_host[host]
                del self._heard_since_ms_by_host[host]
                del self._statuses_by_host[host]
                self._lost_hosts.discard(host)
                self._update_hosts()
            elif silent_ms > PEER_LOST_MS and host not in self._lost_hosts:
                self._lost_hosts.add(host)
                self._disturbed_ms = now.monotonic_ms
                self._update_hosts()
                fields: dict[str, LogValue] = {"peer": host, "silent_ms": silent_ms}
                yield LogEvent("peer_lost", self.step, fields)


def _digest_hosts(hosts: Iterable[HostName]) -> int:
    """Return a number that differs between different sets of hosts."""
    digest = blake2b("\n".join(sorted(hosts)).encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")
