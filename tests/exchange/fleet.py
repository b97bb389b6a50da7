"""A fleet of hosts that exchange statuses over a network in virtual time."""

import random
from collections import Counter
from dataclasses import replace

from figshunt.dispatch import HostStatus, QueueNotice
from figshunt.exchange import Outgoing, StatusExchange
from figshunt.types import DataCentreName, HostName, Moment, RunnerId
from tests.builders import build_host_status

HEARTBEAT_MS = 500
STEP_MS = 10
SLOW_LINK_MBPS = 10
FAST_LINK_MBPS = 200


class ExchangeHost:
    """One host, what it has received, and when it sends its next heartbeat."""

    def __init__(
        self,
        number: int,
        data_centres: int,
        seeds: tuple[str, ...],
        start_ms: int,
        link_mbps: int,
    ) -> None:
        self.address = build_address(number)
        self.name = HostName(f"host-{number}")
        self.data_centre = DataCentreName(f"dc-{number % data_centres}")
        self.link_mbps = link_mbps
        self.exchange = StatusExchange(
            self.name, self.data_centre, self.address, seeds, link_mbps
        )
        self.next_heartbeat_ms = start_ms
        self.received_notices: Counter[str] = Counter()
        self.sent_datagrams = 0

    def build_status(self, now: Moment) -> HostStatus:
        """Return the host's own status."""
        return build_host_status(
            self.name,
            address=self.address,
            data_centre=self.data_centre,
            link_mbps=self.link_mbps,
            known_hosts=self.exchange.known_hosts(now),
        )


class ExchangeFleet:
    """Delivers bundles in order of steps, unless a link is cut or a host is down.

    :param fast_hosts: the last so many hosts have fast links.
    """

    def __init__(
        self, hosts: int, data_centres: int, seed: int = 1, fast_hosts: int = 0
    ) -> None:
        self.random = random.Random(seed)
        seeds = tuple(build_address(number) for number in range(min(3, hosts)))
        self.hosts = [
            ExchangeHost(
                number,
                data_centres,
                seeds,
                self.random.randrange(300),
                FAST_LINK_MBPS if number >= hosts - fast_hosts else SLOW_LINK_MBPS,
            )
            for number in range(hosts)
        ]
        self.hosts_by_address = {host.address: host for host in self.hosts}
        self.down: set[str] = set()
        self.side_by_address: dict[str, int] = {}
        self.loss_share = 0.0
        self.now = Moment(0, 0)

    @property
    def living_hosts(self) -> list[ExchangeHost]:
        """Return the hosts that are not down."""
        return [host for host in self.hosts if host.address not in self.down]

    def run(self, duration_ms: int) -> None:
        """Advance the time, with heartbeats and forwarding."""
        end_ms = self.now.monotonic_ms + duration_ms
        while self.now.monotonic_ms < end_ms:
            self.now = Moment(self.now.monotonic_ms + STEP_MS, 0)
            for host in self.living_hosts:
                if host.next_heartbeat_ms <= self.now.monotonic_ms:
                    host.next_heartbeat_ms += HEARTBEAT_MS
                    status = host.build_status(self.now)
                    self.deliver(host, host.exchange.send_heartbeat(status, self.now))
            for host in self.living_hosts:
                if host.exchange.has_pending:
                    self.deliver(host, host.exchange.forward_pending(self.now))

    def notify(self, host: ExchangeHost, name: str) -> None:
        """Send a notice with a name of its own from a host."""
        status = replace(
            host.build_status(self.now), queues=(QueueNotice(RunnerId(name), 1),)
        )
        self.deliver(host, host.exchange.send_notices(status, self.now))

    def deliver(self, sender: ExchangeHost, bundles: list[Outgoing]) -> None:
        """Pass bundles to their receivers, and the receivers' answers back."""
        for outgoing in bundles:
            sender.sent_datagrams += len(outgoing.addresses)
            for address in outgoing.addresses:
                receiver = self.hosts_by_address[address]
                if not self.is_lost(sender, receiver):
                    self.receive(receiver, outgoing)

    def receive(self, receiver: ExchangeHost, outgoing: Outgoing) -> None:
        """Count the notices of a bundle and send the answer."""
        statuses, answers = receiver.exchange.receive(outgoing.bundle, self.now)
        for status in statuses:
            receiver.received_notices.update(
                str(notice.runner_id) for notice in status.queues
            )
        self.deliver(receiver, answers)

    def is_lost(self, sender: ExchangeHost, receiver: ExchangeHost) -> bool:
        """Return whether a datagram between the hosts is lost."""
        if receiver.address in self.down:
            return True
        sides = self.side_by_address
        if sides.get(sender.address, 0) != sides.get(receiver.address, 0):
            return True
        return self.random.random() < self.loss_share


def build_address(number: int) -> str:
    """Return the address of a host."""
    return f"10.0.{number // 250}.{number % 250 + 1}"
