"""The platform's settings file."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from figshunt.dispatch import SharedBounds
from figshunt.gateway import Address, GatewaySettings
from figshunt.types import DataCentreName, ErrorCode, FigshuntError, HostName, Step

SETTINGS_VARIABLE = "FIGSHUNT_SETTINGS"

# Where deploy/system.toml says that metrics are to be found.
METRICS_PORT = 9464


def settings_path() -> Path:
    """Return the path of the settings file that the platform wrote.

    :raises FigshuntError: with :attr:`ErrorCode.SETTINGS_INVALID` if the
        environment names none.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise _invalid(f"{SETTINGS_VARIABLE} isn't set")
    return Path(path)


def read_platform_settings(path: Path) -> GatewaySettings:
    """Return the settings of this process.

    :raises FigshuntError: with :attr:`ErrorCode.SETTINGS_INVALID` if the file
        can't be read or lacks a field.
    """
    try:
        return _decode(tomllib.loads(path.read_text(encoding="utf-8")))
    except KeyError as error:
        raise _invalid(f"{path}: no field {error}") from error
    except (OSError, ValueError, TypeError) as error:
        raise _invalid(f"{path}: {type(error).__name__}: {error}") from error


def _decode(fields: Mapping[str, Any]) -> GatewaySettings:
    listen = fields["listen"]
    bounds = fields["bounds"]
    return GatewaySettings(
        host=HostName(fields["node"]),
        data_centre=DataCentreName(fields["zone"]),
        front=_address(listen["front"]),
        readiness=_address(listen["ready"]),
        mirror=_address(listen["control"]),
        metrics=Address(fields["ip"], int(fields.get("metricsPort", METRICS_PORT))),
        peer_port=int(fields["portRange"][0]),
        seeds=tuple(_address(seed).ip for seed in fields.get("seeds", ())),
        store=_address(fields["provider"]["addr"]),
        bounds=SharedBounds(
            cold_overshoot=float(bounds["coldOvershoot"]),
            cold_slack=float(bounds["coldSlack"]),
            retry_share=float(bounds["retryRatio"]),
            retry_slack=float(bounds["retrySlack"]),
            retry_window_ms=int(float(bounds["budgetWindowS"]) * 1000),
            reuse_window_ms=int(float(bounds["reuseWindowS"]) * 1000),
        ),
        stop_grace_ms=int(float(bounds["graceS"]) * 1000),
    )


def _address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))


def _invalid(detail: str) -> FigshuntError:
    return FigshuntError(ErrorCode.SETTINGS_INVALID, Step.SETTINGS, detail)
