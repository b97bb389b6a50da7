"""Settings of an entry host that reads its configuration from a platform's store."""

from dataclasses import dataclass
from typing import NamedTuple

from figshunt.dispatch import SharedBounds
from figshunt.types import DataCentreName, HostName


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Start-up settings of one daemon.

    ``front``, ``readiness``, ``mirror`` and ``metrics`` are the addresses of its
    listeners, and ``store`` is that of the platform's store. ``seeds`` are the
    IP addresses of hosts through which the other hosts are found. All hosts
    exchange datagrams on ``peer_port``. ``stop_grace_ms`` is the time between
    SIGTERM and the kill. ``memory_bytes`` is the memory of this process, and
    ``link_mbps`` what the link of its machine carries, if the platform tells them.
    """

    host: HostName
    data_centre: DataCentreName
    front: Address
    readiness: Address
    mirror: Address
    metrics: Address
    peer_port: int
    seeds: tuple[str, ...]
    store: Address
    bounds: SharedBounds
    stop_grace_ms: int
    memory_bytes: int | None = None
    link_mbps: int = 0
    log_level: str = "info"

    @property
    def names_other_hosts(self) -> bool:
        """Return whether ``seeds`` has addresses of other hosts."""
        return any(seed != self.front.ip for seed in self.seeds)
