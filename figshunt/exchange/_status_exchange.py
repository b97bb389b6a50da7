"""Decides to which hosts statuses are sent, and which ones are forwarded."""

from collections.abc import Iterable, Sequence

from figshunt.dispatch import HostStatus
from figshunt.exchange._bundle import Bundle, BundlePurpose, Outgoing, split_statuses
from figshunt.exchange._members import Members, RelayRank
from figshunt.types import DataCentreName, HostName, Moment

# Up to this many other hosts, each one sends its statuses to all others. The cost
# for each host grows with their number, so larger fleets use relays.
MAX_DIRECT_PEERS = 12

# Every this many heartbeats one is sent beyond the data centre, and to the seeds.
# Seeds join parts of a fleet that don't know each other.
RELAYED_HEARTBEATS = 2
SEED_HEARTBEATS = 8

# A host that knows fewer hosts gets a list of them, at most once in this time.
INTRODUCTION_INTERVAL_MS = 400
MAX_MISSING_SHARE = 0.15


class StatusExchange:
    """Spreads statuses and notices at a cost that doesn't grow with their square.

    In a large fleet a host sends its notices to the relay of its data centre only.
    The relay forwards what it receives, in bundles, to the other hosts of its data
    centre and to one relay of each other data centre, which forwards it to the hosts
    there. A status thus passes at most two relays, and none twice. Hosts that
    disagree on a relay lose nothing, since each forwards what it is asked to.

    :param link_mbps: what this host's link carries, or 0 if it isn't known. Its own
        statuses have to say the same.
    """

    def __init__(
        self,
        host: HostName,
        data_centre: DataCentreName,
        address: str,
        seeds: tuple[str, ...],
        link_mbps: int = 0,
    ) -> None:
        self.members = Members()
        self._host = host
        self._rank = RelayRank.of(host, link_mbps)
        self._data_centre = data_centre
        self._address = address
        self._seeds = seeds
        self._heartbeats = 0
        self._local_statuses: list[HostStatus] = []
        self._remote_statuses: list[HostStatus] = []
        self._introduced_ms_by_host: dict[HostName, int] = {}

    @property
    def uses_relays(self) -> bool:
        """Return whether the fleet is too large for all hosts to tell all others."""
        return len(self.members) > MAX_DIRECT_PEERS

    @property
    def has_pending(self) -> bool:
        """Return whether statuses wait for :meth:`forward_pending`."""
        return bool(self._local_statuses or self._remote_statuses)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses through which other hosts are found."""
        self._seeds = seeds

    def is_relay(self, now: Moment) -> bool:
        """Return whether this host is the relay of its data centre."""
        relay = self.members.relay(self._data_centre, now.monotonic_ms)
        if relay is None or relay not in self.members.fresh(now.monotonic_ms):
            return True
        return self._rank < relay.rank

    def known_hosts(self, now: Moment) -> int:
        """Return how many hosts are known to live, this one included."""
        return 1 + len(self.members.fresh(now.monotonic_ms))

    def send_heartbeat(self, status: HostStatus, now: Moment) -> list[Outgoing]:
        """Return what to send so that other hosts know that this one lives."""
        self.members.expire(now.monotonic_ms)
        self._expire_introductions(now)
        self._heartbeats += 1
        if not self.uses_relays:
            return self._address_bundles(
                self._all_addresses(), [status], BundlePurpose.INFORM
            )
        is_relayed = self._heartbeats % RELAYED_HEARTBEATS == 0
        relay_addresses = self._heartbeat_relay_addresses(now) if is_relayed else ()
        addresses = {
            member.address for member in self.members.in_data_centre(self._data_centre)
        }
        if self._heartbeats % SEED_HEARTBEATS == 0:
            addresses.update(self._seeds)
        direct = self._address_bundles(
            addresses.difference(relay_addresses), [status], BundlePurpose.INFORM
        )
        return direct + self._address_bundles(
            relay_addresses, [status], BundlePurpose.FORWARD
        )

    def send_notices(self, status: HostStatus, now: Moment) -> list[Outgoing]:
        """Return what to send so that all hosts receive the notices of this one."""
        if not self.uses_relays:
            return self._address_bundles(
                self._all_addresses(), [status], BundlePurpose.INFORM
            )
        if not self.is_relay(now):
            return self._address_bundles(
                self._relay_addresses(now), [status], BundlePurpose.FORWARD
            )
        self._local_statuses.append(status)
        self._remote_statuses.append(status)
        return []

    def receive(
        self, bundle: Bundle, now: Moment
    ) -> tuple[list[HostStatus], list[Outgoing]]:
        """Return the statuses that are news, and the answer to the sender.

        Known members aren't news in an introduction. If they were, a host that is
        gone would seem to live for as long as others introduce it.
        """
        is_introduction = bundle.purpose is BundlePurpose.INTRODUCE
        statuses = [
            status
            for status in bundle.statuses
            if status.host != self._host
            and not (is_introduction and status.host in self.members)
        ]
        for status in statuses:
            self.members.record(status, now.monotonic_ms)
        statuses = [status for status in statuses if status.host in self.members]
        if bundle.purpose is BundlePurpose.FORWARD:
            self._queue_forward(bundle.data_centre, statuses)
        if len(statuses) == 1 and statuses[0].host == bundle.sender:
            return statuses, self._introduce_members(statuses[0], now)
        return statuses, []

    def forward_pending(self, now: Moment) -> list[Outgoing]:
        """Return what to forward of the statuses that were received or queued."""
        local_statuses, self._local_statuses = self._local_statuses, []
        remote_statuses, self._remote_statuses = self._remote_statuses, []
        local_addresses = [
            member.address for member in self.members.in_data_centre(self._data_centre)
        ]
        return self._address_bundles(
            local_addresses, local_statuses, BundlePurpose.INFORM
        ) + self._address_bundles(
            self._remote_relay_addresses(now), remote_statuses, BundlePurpose.FORWARD
        )

    def _queue_forward(
        self, origin: DataCentreName, statuses: Sequence[HostStatus]
    ) -> None:
        self._local_statuses.extend(statuses)
        if origin == self._data_centre:
            self._remote_statuses.extend(statuses)

    def _introduce_members(self, status: HostStatus, now: Moment) -> list[Outgoing]:
        """Return a list of members for a host that knows fewer of them."""
        now_ms = now.monotonic_ms
        known_hosts = self.known_hosts(now)
        missing_hosts = known_hosts - status.known_hosts
        # A few that were not heard of lately are heard of again without a list.
        if missing_hosts <= known_hosts * MAX_MISSING_SHARE:
            return []
        last_ms = self._introduced_ms_by_host.get(status.host)
        if last_ms is not None and now_ms - last_ms < INTRODUCTION_INTERVAL_MS:
            return []
        self._introduced_ms_by_host[status.host] = now_ms
        statuses = [
            member.status
            for member in self.members.fresh(now_ms)
            if member.status.host != status.host
        ]
        return self._address_bundles(
            [status.address], statuses, BundlePurpose.INTRODUCE
        )

    def _expire_introductions(self, now: Moment) -> None:
        for host, introduced_ms in tuple(self._introduced_ms_by_host.items()):
            if now.monotonic_ms - introduced_ms >= INTRODUCTION_INTERVAL_MS:
                del self._introduced_ms_by_host[host]

    def _all_addresses(self) -> set[str]:
        return {*self._seeds, *(member.address for member in self.members.all())}

    def _heartbeat_relay_addresses(self, now: Moment) -> tuple[str, ...]:
        """Return the relays for a heartbeat.

        Where nobody was heard of lately the relay may be gone, and one of the others
        may live, so that all of them get it.
        """
        addresses = set(self._relay_addresses(now))
        if self.is_relay(now):
            fresh_members = self.members.fresh(now.monotonic_ms)
            fresh_data_centres = {member.status.data_centre for member in fresh_members}
            addresses.update(
                member.address
                for member in self.members.all()
                if member.status.data_centre not in fresh_data_centres
                and member.status.data_centre != self._data_centre
            )
        return tuple(addresses)

    def _relay_addresses(self, now: Moment) -> tuple[str, ...]:
        """Return the relays to which this host sends: its own, or those it feeds."""
        if self.is_relay(now):
            return self._remote_relay_addresses(now)
        relay = self.members.relay(self._data_centre, now.monotonic_ms)
        return (relay.address,) if relay is not None else ()

    def _remote_relay_addresses(self, now: Moment) -> tuple[str, ...]:
        data_centres = sorted(self.members.data_centres() - {self._data_centre})
        relays = [
            self.members.relay(data_centre, now.monotonic_ms)
            for data_centre in data_centres
        ]
        return tuple(relay.address for relay in relays if relay is not None)

    def _address_bundles(
        self,
        addresses: Iterable[str],
        statuses: Sequence[HostStatus],
        purpose: BundlePurpose,
    ) -> list[Outgoing]:
        receivers = tuple(sorted(set(addresses) - {self._address}))
        if not receivers:
            return []
        return [
            Outgoing(receivers, Bundle(self._host, self._data_centre, purpose, group))
            for group in split_statuses(statuses)
        ]
