"""Builders of test data: valid values that a test changes where it matters."""

import hashlib
import json
from collections.abc import Mapping, Sequence
from typing import Any

from figshunt.directory import (
    Configuration,
    EngineLimits,
    PoolShare,
    PublishedPool,
    PublishedRoute,
    PublishedRunner,
    Repeatability,
)
from figshunt.dispatch import (
    Call,
    HostStatus,
    PartId,
    Prompt,
    PromptPart,
    ReplyHead,
    ReplyVerdict,
)
from figshunt.replay import TraceRequest
from figshunt.settings import DaemonSettings, check_settings
from figshunt.tables import Tables, check_tables
from figshunt.types import (
    DataCentreName,
    Fingerprint,
    HostName,
    LoadReport,
    LoadReported,
    Moment,
    PoolName,
    Request,
    RequestArrived,
    RequestId,
    RequestKey,
    RoutedRequest,
    RouteName,
    RunnerId,
    StartIdentity,
    TablesOffered,
    TableSourceKind,
    TeamName,
)

CALLER_KEY = "caller-key-of-team-a"


def build_route(name: str = "chat", **changes: Any) -> dict[str, Any]:
    """Return a route as it stands in the routes document."""
    route = {
        "name": name,
        "pool": "engines",
        "tier": 2,
        "latency_target_ms": 450,
        "idempotent": True,
        "deadline_ms": 20_000,
    }
    return route | changes


def build_runner(runner_id: str, url: str, **changes: Any) -> dict[str, Any]:
    """Return a runner as it stands in the pools document."""
    return {"id": runner_id, "url": url, "data_centre": "accra-1"} | changes


def build_pool(
    name: str = "engines",
    runners: int | Sequence[Mapping[str, Any]] = 1,
    **changes: Any,
) -> dict[str, Any]:
    """Return a pool as it stands in the pools document.

    :param runners: the runners, or how many to make up.
    """
    if isinstance(runners, int):
        runners = [
            build_runner(f"{name}-{number}", f"http://127.0.0.1:{9000 + number}")
            for number in range(1, runners + 1)
        ]
    pool = {
        "name": name,
        "kind": "engine",
        "limit": 16,
        "cold_limit": 2,
        "runners": list(runners),
    }
    return pool | changes


def build_team(
    name: str = "team-a", caller_key: str = CALLER_KEY, **changes: Any
) -> dict[str, Any]:
    """Return a team as it stands in the routes document."""
    team = {
        "name": name,
        "key_sha256": hashlib.sha256(caller_key.encode()).hexdigest(),
    }
    return team | changes


def build_documents(
    revision: int = 1,
    routes: Sequence[Mapping[str, Any]] | None = None,
    pools: Sequence[Mapping[str, Any]] | None = None,
    teams: Sequence[Mapping[str, Any]] | None = None,
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return a valid pair of decoded documents."""
    routes_document = {
        "revision": revision,
        "routes": list(routes if routes is not None else [build_route()]),
        "teams": list(teams if teams is not None else [build_team()]),
    }
    pools_document = {
        "revision": revision,
        "data_centres": [
            {"name": "accra-1", "state": "in"},
            {"name": "accra-2", "state": "in"},
        ],
        "pools": list(pools if pools is not None else [build_pool()]),
    }
    return routes_document, pools_document


def build_tables(revision: int = 1, **parts: Any) -> Tables:
    """Return checked tables."""
    checked = check_tables(*build_documents(revision, **parts))
    assert checked.tables is not None, checked.faults
    return checked.tables


def build_tables_offered(revision: int = 1, **parts: Any) -> TablesOffered:
    """Return the message that brings tables into force."""
    return TablesOffered(
        build_tables(revision, **parts), ("", ""), TableSourceKind.SERVICE, "service"
    )


def build_request(
    now: Moment, number: int = 1, route: str = "chat", **changes: Any
) -> Request:
    """Return a request that arrives at ``now``."""
    values: dict[str, Any] = {
        "request_id": RequestId(f"request-{number}"),
        "route": RouteName(route),
        "caller_key": CALLER_KEY,
        "key": None,
        "method": "POST",
        "path": "/v1/chat/completions",
        "content_type": "application/json",
        "body": b"{}",
        "stream": True,
        "prompt_tokens": 10,
        "prefixes": (),
        "fingerprint": Fingerprint(f"fingerprint-{number}"),
        "arrived": now,
    }
    if isinstance(changes.get("key"), str):
        changes["key"] = RequestKey(changes["key"])
    return Request(**(values | changes))


def build_arrival(now: Moment, number: int = 1, **changes: Any) -> RequestArrived:
    """Return the arrival of a request at ``now``."""
    return RequestArrived(build_request(now, number, **changes))


def build_routed(
    now: Moment, number: int = 1, team: str = "team-a", **route_changes: Any
) -> RoutedRequest:
    """Return a routed request that arrives at ``now``."""
    route_document = build_route(**route_changes)
    tables = build_tables(
        routes=[route_document], pools=[build_pool(route_document["pool"])]
    )
    (route,) = tables.routes_by_name.values()
    request = build_request(now, number, route=route.name)
    deadline_ms = now.monotonic_ms + route.deadline_ms
    return RoutedRequest(request, TeamName(team), route, deadline_ms)


def build_load(
    runner: str = "engines-1", completed: int = 1000, **changes: Any
) -> LoadReported:
    """Return a load report, of a warm and idle runner unless changed."""
    values: dict[str, Any] = {
        "start": StartIdentity("start-1"),
        "completed": completed,
        "running": 0,
        "queued": 0,
        "token_time_us": 5_000,
        "leaving": False,
        "age_ms": 0,
    }
    return LoadReported(RunnerId(runner), LoadReport(**(values | changes)))


def build_settings_document(**changes: Any) -> dict[str, Any]:
    """Return the settings of a daemon without peers, on ports chosen at bind."""
    loopback = {"ip": "127.0.0.1", "port": 0}
    document = {
        "host": "host-0",
        "data_centre": "accra-1",
        "seat": 0,
        "peers": [],
        "peer_secret": "peer-secret-of-the-tests",
        "caller_address": loopback,
        "admin_address": loopback,
        "peer_address": loopback,
        "configuration_url": "http://127.0.0.1:1",
        "host_list_url": "http://127.0.0.1:1",
    }
    return document | changes


def build_completion_body(
    route: str = "chat", tokens: int = 4, prompt: str = "Hello", **changes: Any
) -> bytes:
    """Return the body of a streamed chat completion."""
    fields: dict[str, Any] = {
        "model": route,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    return json.dumps(fields | changes).encode()


def build_trace_request(route: str = "chat", **changes: Any) -> TraceRequest:
    """Return a line of a trace, of a short stream unless changed."""
    values: dict[str, Any] = {
        "at_ms": 0,
        "route": RouteName(route),
        "team": TeamName("team-a"),
        "name": f"{route}-1",
        "prompt_tokens": 10,
        "output_tokens": 3,
    }
    return TraceRequest(**(values | changes))


def build_settings(configuration_url: str, **changes: Any) -> DaemonSettings:
    """Return checked settings of a daemon without peers."""
    urls = {"configuration_url": configuration_url, "host_list_url": configuration_url}
    checked = check_settings(build_settings_document(**urls, **changes))
    assert checked.settings is not None, checked.faults
    return checked.settings


def build_published_route(name: str = "chat", **changes: Any) -> PublishedRoute:
    """Return a route as the directory holds it."""
    fields: dict[str, Any] = {
        "name": RouteName(name),
        "host": "api.example",
        "path_prefix": f"/{name}/",
        "repeatability": Repeatability.RESUMABLE,
        "is_public": True,
        "pool_shares": (PoolShare(PoolName("engines"), 1.0),),
        "urgency": 0,
        "target_ms": 300,
        "timeout_ms": 15_000,
        "most_runners": 2,
        "gap_target_ms": 200,
    }
    return PublishedRoute(**(fields | changes))


def build_booking_route(**changes: Any) -> PublishedRoute:
    """Return a route whose requests must not be repeated."""
    fields: dict[str, Any] = {
        "repeatability": Repeatability.RUN_ONCE,
        "gap_target_ms": None,
        "pool_shares": (PoolShare(PoolName("bookings"), 1.0),),
        "target_ms": 125,
        "timeout_ms": 1_000,
        "most_runners": 1,
        "urgency": 2,
    }
    return build_published_route("book", **(fields | changes))


def build_configuration(
    *routes: PublishedRoute, version: int = 1, **changes: Any
) -> Configuration:
    """Return a configuration with a pool of engines and a plain pool."""
    fields: dict[str, Any] = {
        "version": version,
        "routes": routes or (build_published_route(), build_booking_route()),
        "pools_by_name": {
            PoolName("engines"): PublishedPool(
                PoolName("engines"), 3_000, 13.0, EngineLimits(260_000, 4)
            ),
            PoolName("bookings"): PublishedPool(PoolName("bookings"), 0, 0.0),
        },
        "teams_by_key_sha256": {},
    }
    return Configuration(**(fields | changes))


def build_published_runner(
    runner_id: str = "e1", pool: str = "engines", **changes: Any
) -> PublishedRunner:
    """Return a warm runner that takes work."""
    fields: dict[str, Any] = {
        "runner_id": RunnerId(runner_id),
        "pool": PoolName(pool),
        "address": f"10.0.0.{sum(runner_id.encode()) % 250}:80",
        "data_centre": DataCentreName("a"),
        "slots": 64,
        "is_leaving": False,
        "cold_left_ms": 0,
        "started_wall_ms": 1_000,
    }
    return PublishedRunner(**(fields | changes))


def build_call(call_id: str = "r1", path: str = "/chat/1", **changes: Any) -> Call:
    """Return a caller's request, received at time 0."""
    fields: dict[str, Any] = {
        "call_id": RequestId(call_id),
        "host": "api.example",
        "method": "POST",
        "target": path,
        "caller_key": None,
        "headers": (),
        "body": b"{}",
        "received": Moment(0, 0),
        "patience_ms": 10_000,
        "prompt": None,
        "resume_after": None,
        "fingerprint": Fingerprint(call_id),
    }
    return Call(**(fields | changes))


def build_prompt(tokens: int = 500, *parts: tuple[str, int]) -> Prompt:
    """Return a prompt whose last part is its own."""
    shared = tuple(PromptPart(PartId(name), count) for name, count in parts)
    own = tokens - sum(part.tokens for part in shared)
    return Prompt(tokens, 200, (*shared, PromptPart(PartId("own"), own)), 100)


def build_reply_head(status: int = 200, **changes: Any) -> ReplyHead:
    """Return the head of a runner's whole answer with its receipt."""
    fields: dict[str, Any] = {
        "status": status,
        "headers": (),
        "verdict": (
            ReplyVerdict.ANSWERED if 200 <= status < 300 else ReplyVerdict.FAILED
        ),
        "has_receipt": True,
        "is_ours": True,
        "is_stream": False,
    }
    return ReplyHead(**(fields | changes))


def build_host_status(host: str = "h2", **changes: Any) -> HostStatus:
    """Return the status of a peer."""
    fields: dict[str, Any] = {
        "host": HostName(host),
        "incarnation": 1,
        "address": "10.1.0.2",
        "version": 1,
        "revision": 1,
        "is_current": True,
    }
    return HostStatus(**(fields | changes))
