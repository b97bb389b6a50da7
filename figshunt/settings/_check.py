"""Checks a decoded settings document and builds :class:`DaemonSettings`."""

from dataclasses import dataclass

from figshunt.settings._model import (
    Address,
    DaemonSettings,
    LimitSettings,
    PeerSettings,
    TlsSettings,
)
from figshunt.tables import Fault, FaultList, FieldReader
from figshunt.types import DataCentreName, HostName, SeatNumber

MAX_SEATS = 9
MAX_PORT = 65_535
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_HEADER_BYTES = 8 * 1024
DEFAULT_BODY_TIMEOUT_MS = 10_000
DEFAULT_KEEPALIVE_TIMEOUT_MS = 75_000
DEFAULT_DRAIN_GRACE_MS = 2_000
MIN_SECRET_LENGTH = 16
LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class CheckedSettings:
    """The result of a check: the settings, or the faults if there were any."""

    settings: DaemonSettings | None
    faults: tuple[Fault, ...]


def check_settings(document: object) -> CheckedSettings:
    """Check a decoded settings document and collect all its faults."""
    faults = FaultList()
    reader = FieldReader(document, "", faults)
    settings = DaemonSettings(
        host=HostName(reader.text("host")),
        data_centre=DataCentreName(reader.text("data_centre")),
        seat=SeatNumber(reader.integer("seat", 0, MAX_SEATS - 1)),
        peers=_read_peers(reader),
        peer_secret=reader.text("peer_secret"),
        caller_address=_read_address(reader.nested("caller_address")),
        admin_address=_read_address(reader.nested("admin_address")),
        peer_address=_read_address(reader.nested("peer_address")),
        configuration_url=reader.text("configuration_url").rstrip("/"),
        host_list_url=reader.text("host_list_url").rstrip("/"),
        limits=_read_limits(reader),
        drain_grace_ms=reader.integer(
            "drain_grace_ms", 0, 600_000, default=DEFAULT_DRAIN_GRACE_MS
        ),
        log_level=reader.choice("log_level", LOG_LEVELS, default="info"),
        caller_tls=_read_tls(reader),
    )
    if len(settings.peer_secret) < MIN_SECRET_LENGTH:
        reader.fault(
            "peer_secret",
            f"at least {MIN_SECRET_LENGTH} characters, got {len(settings.peer_secret)}",
        )
    if settings.seat in {peer.seat for peer in settings.peers}:
        reader.fault("peers", "only seats of other daemons, not the daemon's own seat")
    if len(settings.seats) != len(settings.peers) + 1:
        reader.fault("peers", "each seat at most once")
    if len(settings.seats) % 2 == 0:
        reader.fault(
            "peers",
            "an odd total number of seats, to avoid a tied vote,"
            f" got {len(settings.seats)}",
        )
    reader.finish()
    if faults:
        return CheckedSettings(None, faults.as_tuple())
    return CheckedSettings(settings, ())


def _read_address(reader: FieldReader) -> Address:
    address = Address(reader.text("ip"), reader.integer("port", 0, MAX_PORT))
    reader.finish()
    return address


def _read_peers(reader: FieldReader) -> tuple[PeerSettings, ...]:
    peers = []
    for item in reader.objects("peers", optional=True):
        seat = SeatNumber(item.integer("seat", 0, MAX_SEATS - 1))
        address = Address(item.text("ip"), item.integer("port", 1, MAX_PORT))
        item.finish()
        peers.append(PeerSettings(seat, address))
    return tuple(peers)


def _read_limits(reader: FieldReader) -> LimitSettings:
    if not reader.has("limits"):
        return LimitSettings(
            DEFAULT_BODY_BYTES,
            DEFAULT_HEADER_BYTES,
            DEFAULT_BODY_TIMEOUT_MS,
            DEFAULT_KEEPALIVE_TIMEOUT_MS,
        )
    item = reader.nested("limits")
    limits = LimitSettings(
        body_bytes=item.integer("body_bytes", 1, 2**30, default=DEFAULT_BODY_BYTES),
        header_bytes=item.integer(
            "header_bytes", 1024, 2**20, default=DEFAULT_HEADER_BYTES
        ),
        body_timeout_ms=item.integer(
            "body_timeout_ms", 1, 600_000, default=DEFAULT_BODY_TIMEOUT_MS
        ),
        keepalive_timeout_ms=item.integer(
            "keepalive_timeout_ms", 1, 600_000, default=DEFAULT_KEEPALIVE_TIMEOUT_MS
        ),
    )
    item.finish()
    return limits


def _read_tls(reader: FieldReader) -> TlsSettings | None:
    if not reader.has("caller_tls"):
        return None
    item = reader.nested("caller_tls")
    tls = TlsSettings(item.text("certificate_path"), item.text("key_path"))
    item.finish()
    return tls
