"""Codec for the items of the platform's store.

The items are the configuration, the evacuated data centres and the runners.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping
from ipaddress import ip_address
from typing import Any

from figshunt.directory import (
    Configuration,
    ConfigurationPublished,
    ConfigurationUnreadable,
    DirectoryMessage,
    EngineLimits,
    EvacuationPublished,
    PoolShare,
    PublishedItem,
    PublishedLimits,
    PublishedPool,
    PublishedRoute,
    PublishedRunner,
    PublishedTeam,
    Repeatability,
    RunnerListed,
    RunnerUnlisted,
)
from figshunt.types import (
    DataCentreName,
    PoolName,
    RouteName,
    RunnerId,
    TeamName,
)

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
RUNNER_PREFIX = "servers/"
MAX_PORT = 65_535
LISTED_PREFIXES = ("op/", RUNNER_PREFIX)

# Errors of values that another writer may have left. Deeply nested JSON raises a
# RecursionError, an infinite number an OverflowError.
_MALFORMED_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)

# Largest integer that every JSON writer represents exactly.
_MAX_INTEGER = 2**53

_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


class PlatformItemCodec:
    """Implements :class:`figshunt.gateway.ItemCodec` for the platform's store."""

    def decode(
        self, items: Iterable[PublishedItem], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        """Yield a message for each change, starting with the configuration."""
        for item in sorted(items, key=lambda item: item.key != CONFIGURATION_KEY):
            if item.key == CONFIGURATION_KEY and item.value is not None:
                yield _decode_configuration(item, item.value)
            elif item.key.startswith(EVACUATION_PREFIX):
                data_centre = DataCentreName(item.key.removeprefix(EVACUATION_PREFIX))
                is_evacuated = item.value is not None
                yield EvacuationPublished(
                    item.version, data_centre, is_evacuated, item.may_be_copied
                )
            elif item.key.startswith(RUNNER_PREFIX):
                runner_id = RunnerId(item.key.removeprefix(RUNNER_PREFIX))
                if item.value is None:
                    yield RunnerUnlisted(
                        item.version, runner_id, after_outage, item.may_be_copied
                    )
                else:
                    runner = _decode_runner(runner_id, item.value)
                    yield RunnerListed(
                        item.version, runner_id, runner, item.may_be_copied
                    )


def _decode_configuration(
    item: PublishedItem, value: bytes
) -> ConfigurationPublished | ConfigurationUnreadable:
    try:
        document = json.loads(value)
        tenants = document.get("tenants")
        configuration = Configuration(
            version=int(document["version"]),
            routes=tuple(_decode_route(route) for route in document["routes"]),
            pools_by_name={
                PoolName(pool["name"]): _decode_pool(pool)
                for pool in document["services"]
            },
            requires_caller_key=tenants is not None,
            teams_by_key_sha256=_decode_teams([] if tenants is None else tenants),
            limits=_decode_limits(document.get("limits")),
        )
    except _MALFORMED_ERRORS as error:
        detail = f"{type(error).__name__}: {error}"
        return ConfigurationUnreadable(item.version, detail)
    return ConfigurationPublished(item.version, configuration, item.may_be_copied)


def _decode_limits(fields: Any) -> PublishedLimits:
    """Decode limits of callers; malformed ones count as absent."""
    if not isinstance(fields, dict):
        return PublishedLimits()

    def decode(name: str) -> int | None:
        value = fields.get(name)
        if isinstance(value, int | float) and 0 < value <= _MAX_INTEGER:
            return int(value)
        return None

    return PublishedLimits(
        header_bytes=decode("maxHeaderBytes"),
        header_timeout_ms=decode("headerTimeoutMs"),
        body_bytes=decode("maxBodyBytes"),
        idle_timeout_ms=decode("idleTimeoutMs"),
    )


def _decode_route(fields: Mapping[str, Any]) -> PublishedRoute:
    split: Iterable[Mapping[str, Any]] = fields.get("split") or (
        {"service": fields.get("service"), "weight": 1},
    )
    gap_target = fields.get("gapTargetMs")
    return PublishedRoute(
        name=RouteName(fields["name"]),
        host=fields["host"],
        path_prefix=fields["prefix"],
        repeatability=_decode_repeatability(fields),
        is_public=_decode_flag(fields.get("public", False)),
        pool_shares=tuple(
            PoolShare(PoolName(share["service"]), float(share["weight"]))
            for share in split
        ),
        urgency=int(fields.get("priority", 0)),
        target_ms=int(fields["sloMs"]),
        timeout_ms=int(fields["timeoutMs"]),
        max_runners=int(fields.get("maxAttempts", 1)),
        gap_target_ms=None if gap_target is None else int(gap_target),
    )


def _decode_repeatability(fields: Mapping[str, Any]) -> Repeatability:
    if fields["kind"] == "safe":
        return Repeatability.REPEATABLE
    if fields["kind"] == "stream" and fields.get("resumable"):
        return Repeatability.RESUMABLE
    return Repeatability.RUN_ONCE


def _decode_pool(fields: Mapping[str, Any]) -> PublishedPool:
    engine = fields.get("engine")
    return PublishedPool(
        name=PoolName(fields["name"]),
        cold_ms=int(float(fields.get("coldS", 0)) * 1000),
        cold_per_s=float(fields.get("coldPerS", 0)),
        engine=(
            None
            if engine is None
            else EngineLimits(
                kv_tokens=int(engine["kvCapacity"]),
                event_tokens=int(engine.get("stride", 1)),
                fetch_tokens_per_ms=_fetch_tokens_per_ms(engine),
            )
        ),
    )


def _fetch_tokens_per_ms(engine: Mapping[str, Any]) -> float:
    """Return the tokens that an engine's link carries per ms; 1 Mbit is 10**6 bits."""
    token_bits = float(engine.get("kvTokenBytes", 0)) * 8
    return float(engine.get("linkMbps", 0)) * 1_000 / token_bits if token_bits else 0.0


def _decode_flag(value: object) -> bool:
    """Return a flag; text such as ``"false"`` must not open a route to everybody."""
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, got {value!r}")
    return value


def _decode_teams(tenants: object) -> dict[str, PublishedTeam]:
    teams_by_key_sha256 = {}
    for fields in _decode_list(tenants):
        priority = fields.get("priority")
        team = PublishedTeam(
            TeamName(fields["name"]), None if priority is None else int(priority)
        )
        for key in _decode_list(fields.get("apiKeys", [])):
            teams_by_key_sha256[hashlib.sha256(key.encode()).hexdigest()] = team
    return teams_by_key_sha256


def _decode_list(value: object) -> list[Any]:
    """Return a list; a text or an object would be read as other items."""
    if not isinstance(value, list):
        raise TypeError(f"expected a list, got {type(value).__name__}")
    return value


def _decode_runner(runner_id: RunnerId, value: bytes) -> PublishedRunner | None:
    """Return the runner, or ``None`` if the entry is malformed."""
    try:
        fields = json.loads(value)
        start_time = fields.get("born")
        for name in ("service", "addr", "zone"):
            if not isinstance(fields[name], str):
                return None
        if not _is_socket_address(fields["addr"]):
            return None
        return PublishedRunner(
            runner_id=runner_id,
            pool=PoolName(fields["service"]),
            address=fields["addr"],
            data_centre=DataCentreName(fields["zone"]),
            slots=_decode_int(fields["slots"]),
            is_leaving=_IS_LEAVING_BY_STATE[fields["state"]],
            cold_left_ms=_decode_int(fields.get("coldLeftMs", 0)),
            started_wall_ms=None if start_time is None else _decode_int(start_time),
        )
    except _MALFORMED_ERRORS:
        return None


def _is_socket_address(address: str) -> bool:
    ip, _, port = address.rpartition(":")
    ip_address(ip)
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT


def _decode_int(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, got {value!r}")
    number = int(value)
    if not 0 <= number <= _MAX_INTEGER:
        raise ValueError(f"expected a number from 0 to {_MAX_INTEGER}")
    return number
