"""Settings of a daemon: model and checks."""

from figshunt.settings._check import (
    CheckedSettings,
    check_settings,
)
from figshunt.settings._model import (
    Address,
    DaemonSettings,
    LimitSettings,
    PeerSettings,
    TlsSettings,
)

__all__ = [
    "Address",
    "CheckedSettings",
    "DaemonSettings",
    "LimitSettings",
    "PeerSettings",
    "TlsSettings",
    "check_settings",
]
