"""Settings of an entry host that reads a platform's published state."""

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
    """What one daemon has to know at its start.

    ``seeds`` are hosts that may know the others. Datagrams between hosts use
    ``peer_port`` on each of them. ``stop_grace_ms`` is the time between the
    request to stop and the kill.
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
    log_level: str = "info"
