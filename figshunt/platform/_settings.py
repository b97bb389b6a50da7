"""Reads the settings file that the platform writes."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from figshunt.dispatch import SharedBounds
from figshunt.gateway import Address, GatewaySettings
from figshunt.types import DataCentreName, ErrorCode, FigshuntError, HostName, Step

SETTINGS_VARIABLE = "FIGSHUNT_SETTINGS"

# The port that deploy/system.toml declares for metrics.
DEFAULT_METRICS_PORT = 9464

# What decoding raises for a file that can't be read, or a field of another type.
INVALID_FIELD_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    OSError,
    TypeError,
    ValueError,
)


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    :raises FigshuntError: with :attr:`ErrorCode.SETTINGS_INVALID` if the
        variable isn't set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise _settings_error(f"environment variable {SETTINGS_VARIABLE} isn't set")
    return Path(path)


def read_platform_settings(path: Path) -> GatewaySettings:
    """Read the settings of this process.

    :raises FigshuntError: with :attr:`ErrorCode.SETTINGS_INVALID` if the file
        can't be read or lacks a field.
    """
    try:
        return _decode(tomllib.loads(path.read_text(encoding="utf-8")))
    except KeyError as error:
        raise _settings_error(f"{path}: missing field {error}") from error
    except INVALID_FIELD_ERRORS as error:
        raise _settings_error(f"{path}: {type(error).__name__}: {error}") from error


def _decode(fields: Mapping[str, Any]) -> GatewaySettings:
    listen = fields["listen"]
    bounds = fields["bounds"]
    return GatewaySettings(
        host=HostName(fields["node"]),
        data_centre=DataCentreName(fields["zone"]),
        front=_parse_address(listen["front"]),
        readiness=_parse_address(listen["ready"]),
        mirror=_parse_address(listen["control"]),
        metrics=Address(
            fields["ip"], int(fields.get("metricsPort", DEFAULT_METRICS_PORT))
        ),
        peer_port=int(fields["portRange"][0]),
        seeds=tuple(_parse_address(seed).ip for seed in fields.get("seeds", ())),
        store=_parse_address(fields["provider"]["addr"]),
        bounds=SharedBounds(
            cold_overshoot=float(bounds["coldOvershoot"]),
            cold_slack=float(bounds["coldSlack"]),
            retry_share=float(bounds["retryRatio"]),
            retry_slack=float(bounds["retrySlack"]),
            retry_window_ms=int(float(bounds["budgetWindowS"]) * 1000),
            reuse_window_ms=int(float(bounds["reuseWindowS"]) * 1000),
        ),
        stop_grace_ms=int(float(bounds["graceS"]) * 1000),
        memory_bytes=_parse_memory_bytes(fields.get("limits", {})),
        link_mbps=int(float(fields.get("limits", {}).get("linkMbps", 0))),
    )


def _parse_memory_bytes(limits: Mapping[str, Any]) -> int | None:
    memory_mb = limits.get("memoryMb")
    return None if memory_mb is None else int(float(memory_mb) * 1024 * 1024)


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))


def _settings_error(detail: str) -> FigshuntError:
    return FigshuntError(ErrorCode.SETTINGS_INVALID, Step.SETTINGS, detail)
