"""Adapter for the names, formats and calls of the platform, without decision logic."""

from figshunt.platform._calls import PlatformCallCodec
from figshunt.platform._items import PlatformItemCodec
from figshunt.platform._readiness import READINESS_PATH
from figshunt.platform._settings import (
    DEFAULT_METRICS_PORT,
    read_platform_settings,
    settings_path,
)
from figshunt.platform._store_client import PlatformStoreClient

__all__ = [
    "DEFAULT_METRICS_PORT",
    "READINESS_PATH",
    "PlatformCallCodec",
    "PlatformItemCodec",
    "PlatformStoreClient",
    "read_platform_settings",
    "settings_path",
]
