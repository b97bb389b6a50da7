"""Immutable model of the settings of a daemon."""

from dataclasses import dataclass

from figshunt.types import DataCentreName, HostName, SeatNumber


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port; with port 0, the system chooses a free port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """One seat of the cell and the address at which its daemon accepts peers."""

    seat: SeatNumber
    address: Address


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Paths of the certificate and key files of a listener, in PEM format."""

    certificate_path: str
    key_path: str


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Size limits and timeouts for the requests of callers."""

    body_bytes: int
    header_bytes: int
    body_timeout_ms: int
    keepalive_timeout_ms: int


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """The settings that a daemon reads at startup."""

    host: HostName
    data_centre: DataCentreName
    seat: SeatNumber
    peers: tuple[PeerSettings, ...]
    peer_secret: str
    caller_address: Address
    admin_address: Address
    peer_address: Address
    configuration_url: str
    host_list_url: str
    limits: LimitSettings
    drain_grace_ms: int
    log_level: str
    caller_tls: TlsSettings | None = None

    @property
    def seats(self) -> tuple[SeatNumber, ...]:
        """Return all seats of the cell, this daemon's own included, in order."""
        peer_seats = {peer.seat for peer in self.peers}
        return tuple(sorted(peer_seats | {self.seat}))
