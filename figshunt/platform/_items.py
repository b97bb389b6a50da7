"""Items of the platform's store: configuration, zones taken out, runners."""

import hashlib
import json
from collections.abc import Iterable, Mapping
from typing import Any

from figshunt.directory import (
    Configuration,
    ConfigurationPublished,
    ConfigurationUnreadable,
    DirectoryMessage,
    EngineLimits,
    EvacuationPublished,
    Item,
    PoolShare,
    PublishedPool,
    PublishedRoute,
    PublishedRunner,
    PublishedTeam,
    Repeatability,
    RunnerListed,
    RunnerUnlisted,
)
from figshunt.types import DataCentreName, PoolName, RouteName, RunnerId, TeamName

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
RUNNER_PREFIX = "servers/"
PREFIXES = ("op/", RUNNER_PREFIX)

_LEAVING_BY_STATE = {"ready": False, "draining": True}


class PlatformItemCodec:
    """Meets :class:`figshunt.gateway.ItemCodec` for the platform's store."""

    def decode(
        self, items: Iterable[Item], after_outage: bool
    ) -> Iterable[DirectoryMessage]:
        """Yield what changed, the configuration first."""
        for item in sorted(items, key=lambda one: one.key != CONFIGURATION_KEY):
            if item.key == CONFIGURATION_KEY and item.value is not None:
                yield _decode_configuration(item.revision, item.value)
            elif item.key.startswith(EVACUATION_PREFIX):
                zone = DataCentreName(item.key.removeprefix(EVACUATION_PREFIX))
                is_out = item.value is not None
                yield EvacuationPublished(item.revision, zone, is_out)
            elif item.key.startswith(RUNNER_PREFIX):
                runner_id = RunnerId(item.key.removeprefix(RUNNER_PREFIX))
                if item.value is None:
                    yield RunnerUnlisted(item.revision, runner_id, after_outage)
                else:
                    runner = _decode_runner(runner_id, item.value)
                    yield RunnerListed(item.revision, runner_id, runner)


def _decode_configuration(
    revision: int, value: bytes
) -> ConfigurationPublished | ConfigurationUnreadable:
    try:
        document = json.loads(value)
        configuration = Configuration(
            version=int(document["version"]),
            routes=tuple(_decode_route(one) for one in document["routes"]),
            pools_by_name={
                PoolName(one["name"]): _decode_pool(one) for one in document["services"]
            },
            teams_by_key_sha256=_decode_teams(document.get("tenants") or ()),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        detail = f"{type(error).__name__}: {error}"
        return ConfigurationUnreadable(revision, detail)
    return ConfigurationPublished(revision, configuration)


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
        is_public=bool(fields.get("public", False)),
        pool_shares=tuple(
            PoolShare(PoolName(one["service"]), float(one["weight"])) for one in split
        ),
        urgency=int(fields.get("priority", 0)),
        target_ms=int(fields["sloMs"]),
        timeout_ms=int(fields["timeoutMs"]),
        most_runners=int(fields.get("maxAttempts", 1)),
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
                fetch_tokens_per_ms=_fetch_rate(engine),
            )
        ),
    )


def _fetch_rate(engine: Mapping[str, Any]) -> float:
    """Return tokens a ms over an engine's link; mega stands for 10 to the 6."""
    token_bits = float(engine.get("kvTokenBytes", 0)) * 8
    return float(engine.get("linkMbps", 0)) * 1_000 / token_bits if token_bits else 0.0


def _decode_teams(tenants: Iterable[Mapping[str, Any]]) -> dict[str, PublishedTeam]:
    teams = {}
    for fields in tenants:
        priority = fields.get("priority")
        team = PublishedTeam(
            TeamName(fields["name"]), None if priority is None else int(priority)
        )
        for key in fields.get("apiKeys", ()):
            teams[hashlib.sha256(key.encode()).hexdigest()] = team
    return teams


def _decode_runner(runner_id: RunnerId, value: bytes) -> PublishedRunner | None:
    """Return the runner, or ``None`` if the entry isn't one of a runner."""
    try:
        fields = json.loads(value)
        started = fields.get("born")
        for name in ("service", "addr", "zone"):
            if not isinstance(fields[name], str):
                return None
        ip, _, port = fields["addr"].rpartition(":")
        if not ip or not port.isdigit():
            return None
        return PublishedRunner(
            runner_id=runner_id,
            pool=PoolName(fields["service"]),
            address=fields["addr"],
            data_centre=DataCentreName(fields["zone"]),
            slots=_whole(fields["slots"]),
            is_leaving=_LEAVING_BY_STATE[fields["state"]],
            cold_left_ms=_whole(fields.get("coldLeftMs", 0)),
            started_wall_ms=None if started is None else _whole(started),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {value!r}")
    return int(value)
