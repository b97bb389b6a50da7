"""Builders of test data.

They return valid data; keyword arguments replace or add single fields.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from figshunt.directory import (
    Configuration,
    EngineLimits,
    PoolShare,
    PublishedItem,
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
from figshunt.gateway import Listing
from figshunt.replay import TraceRequest
from figshunt.settings import DaemonSettings, check_settings
from figshunt.tables import Tables, check_tables
from figshunt.types import (
    DataCentreName,
    Fingerprint,
    HostName,
    IdempotencyKey,
    LoadReport,
    LoadReported,
    Moment,
    PoolName,
    Request,
    RequestArrived,
    RequestId,
    RoutedRequest,
    RouteName,
    RunnerId,
    StartIdentity,
    TableSourceKind,
    TablesReceived,
    TeamName,
    Version,
)

CALLER_KEY = "caller-key-of-team-a"


def build_route(name: str = "chat", **overrides: Any) -> dict[str, Any]:
    """Return the entry of a route in the routes document."""
    route = {
        "name": name,
        "pool": "engines",
        "tier": 2,
        "latency_target_ms": 450,
        "idempotent": True,
        "deadline_ms": 20_000,
    }
    return route | overrides


def build_runner(runner_id: str, url: str, **overrides: Any) -> dict[str, Any]:
    """Return the entry of a runner in the pools document."""
    return {"id": runner_id, "url": url, "data_centre": "accra-1"} | overrides


def build_pool(
    name: str = "engines",
    runners: int | Sequence[Mapping[str, Any]] = 1,
    **overrides: Any,
) -> dict[str, Any]:
    """Return the entry of a pool in the pools document.

    :param runners: the entries of the runners, or the number of them to generate.
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
    return pool | overrides


def build_team(
    name: str = "team-a", caller_key: str = CALLER_KEY, **overrides: Any
) -> dict[str, Any]:
    """Return the entry of a team in the routes document."""
    team = {
        "name": name,
        "key_sha256": hashlib.sha256(caller_key.encode()).hexdigest(),
    }
    return team | overrides


def build_documents(
    revision: int = 1,
    routes: Sequence[Mapping[str, Any]] | None = None,
    pools: Sequence[Mapping[str, Any]] | None = None,
    teams: Sequence[Mapping[str, Any]] | None = None,
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return a valid routes document and pools document, both decoded."""
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
    """Return the checked tables of a pair of documents.

    :param parts: further arguments of :func:`build_documents`.
    """
    checked = check_tables(*build_documents(revision, **parts))
    assert checked.tables is not None, checked.faults
    return checked.tables


def build_tables_received(revision: int = 1, **parts: Any) -> TablesReceived:
    """Return the message with checked tables from the configuration service."""
    return TablesReceived(
        build_tables(revision, **parts), ("", ""), TableSourceKind.SERVICE, "service"
    )


def build_request(
    now: Moment, number: int = 1, route: str = "chat", **overrides: Any
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
    if isinstance(overrides.get("key"), str):
        overrides["key"] = IdempotencyKey(overrides["key"])
    return Request(**(values | overrides))


def build_request_arrived(
    now: Moment, number: int = 1, **overrides: Any
) -> RequestArrived:
    """Return the message for the arrival of a request at ``now``."""
    return RequestArrived(build_request(now, number, **overrides))


def build_routed_request(
    now: Moment, number: int = 1, team: str = "team-a", **route_overrides: Any
) -> RoutedRequest:
    """Return a request that arrives at ``now``, with its team, route and deadline."""
    route_document = build_route(**route_overrides)
    tables = build_tables(
        routes=[route_document], pools=[build_pool(route_document["pool"])]
    )
    (route,) = tables.routes_by_name.values()
    request = build_request(now, number, route=route.name)
    deadline_ms = now.monotonic_ms + route.deadline_ms
    return RoutedRequest(request, TeamName(team), route, deadline_ms)


def build_load_reported(
    runner: str = "engines-1", completed: int = 1000, **overrides: Any
) -> LoadReported:
    """Return the load report of a runner, by default a warm and idle one."""
    values: dict[str, Any] = {
        "start": StartIdentity("start-1"),
        "completed": completed,
        "running": 0,
        "queued": 0,
        "token_time_us": 5_000,
        "leaving": False,
        "age_ms": 0,
    }
    return LoadReported(RunnerId(runner), LoadReport(**(values | overrides)))


def build_settings_document(**overrides: Any) -> dict[str, Any]:
    """Return the settings document of a daemon without peers.

    All ports are 0, so the system assigns them when the daemon binds.
    """
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
    return document | overrides


def build_completion_body(
    route: str = "chat", tokens: int = 4, prompt: str = "Hello", **overrides: Any
) -> bytes:
    """Return the body of a streamed chat completion."""
    fields: dict[str, Any] = {
        "model": route,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    return json.dumps(fields | overrides).encode()


def build_trace_request(route: str = "chat", **overrides: Any) -> TraceRequest:
    """Return a request of a trace, by default for a stream of 3 tokens."""
    values: dict[str, Any] = {
        "at_ms": 0,
        "route": RouteName(route),
        "team": TeamName("team-a"),
        "name": f"{route}-1",
        "prompt_tokens": 10,
        "output_tokens": 3,
    }
    return TraceRequest(**(values | overrides))


def build_settings(configuration_url: str, **overrides: Any) -> DaemonSettings:
    """Return the checked settings of a daemon without peers."""
    urls = {"configuration_url": configuration_url, "host_list_url": configuration_url}
    checked = check_settings(build_settings_document(**urls, **overrides))
    assert checked.settings is not None, checked.faults
    return checked.settings


def build_published_route(name: str = "chat", **overrides: Any) -> PublishedRoute:
    """Return a route as published in the directory."""
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
        "max_runners": 2,
        "gap_target_ms": 200,
    }
    return PublishedRoute(**(fields | overrides))


def build_run_once_route(**overrides: Any) -> PublishedRoute:
    """Return a published route whose requests must not run more than once."""
    fields: dict[str, Any] = {
        "repeatability": Repeatability.RUN_ONCE,
        "gap_target_ms": None,
        "pool_shares": (PoolShare(PoolName("bookings"), 1.0),),
        "target_ms": 125,
        "timeout_ms": 1_000,
        "max_runners": 1,
        "urgency": 2,
    }
    return build_published_route("book", **(fields | overrides))


def build_configuration(
    *routes: PublishedRoute, version: int = 1, **overrides: Any
) -> Configuration:
    """Return a published configuration with a pool of engines and a plain pool."""
    fields: dict[str, Any] = {
        "version": version,
        "routes": routes or (build_published_route(), build_run_once_route()),
        "pools_by_name": {
            PoolName("engines"): PublishedPool(
                PoolName("engines"), 3_000, 13.0, EngineLimits(260_000, 4)
            ),
            PoolName("bookings"): PublishedPool(PoolName("bookings"), 0, 0.0),
        },
        "requires_caller_key": bool(overrides.get("teams_by_key_sha256")),
        "teams_by_key_sha256": {},
    }
    return Configuration(**(fields | overrides))


def build_published_runner(
    runner_id: str = "e1", pool: str = "engines", **overrides: Any
) -> PublishedRunner:
    """Return the directory entry of a warm runner that accepts requests."""
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
    return PublishedRunner(**(fields | overrides))


def build_call(call_id: str = "r1", path: str = "/chat/1", **overrides: Any) -> Call:
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
        "time_limit_ms": 10_000,
        "prompt": None,
        "resume_after": None,
        "fingerprint": Fingerprint(call_id),
    }
    return Call(**(fields | overrides))


def build_prompt(
    tokens: int = 500,
    *shared: tuple[str, int],
    name: str = "own",
    output_tokens: int = 100,
) -> Prompt:
    """Return a prompt of the given shared parts and a part of its own at the end.

    :param tokens: the number of tokens of the complete prompt.
    :param shared: the name and the number of tokens of each shared part.
    :param name: the name of its own part.
    :param output_tokens: the expected length of the answer.
    """
    shared_parts = tuple(PromptPart(PartId(name), count) for name, count in shared)
    own_tokens = tokens - sum(part.tokens for part in shared_parts)
    return Prompt(
        tokens,
        2 * output_tokens,
        (*shared_parts, PromptPart(PartId(name), own_tokens)),
        output_tokens,
    )


def build_reply_head(status: int = 200, **overrides: Any) -> ReplyHead:
    """Return the head of a runner's complete answer, with the runner's receipt."""
    fields: dict[str, Any] = {
        "status": status,
        "headers": (),
        "verdict": (
            ReplyVerdict.ANSWERED if 200 <= status < 300 else ReplyVerdict.FAILED
        ),
        "has_receipt": True,
        "matches_request": True,
        "is_stream": False,
    }
    return ReplyHead(**(fields | overrides))


def build_host_status(host: str = "h2", **overrides: Any) -> HostStatus:
    """Return the status that a peer reports."""
    fields: dict[str, Any] = {
        "host": HostName(host),
        "incarnation": 1,
        "address": "10.1.0.2",
        "version": 1,
        "revision": 1,
        "can_read_store": True,
        "data_centre": DataCentreName("a"),
    }
    return HostStatus(**(fields | overrides))


# Memory that a daemon may use for control, which bounds what it may receive of an
# endless answer.
MAX_ENDLESS_BYTES = 64 * 1024 * 1024

# Answers that never end, each as its start and the bytes that follow again and
# again. The bytes of the heads and bodies are no part of a valid answer.
ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header line": (b"HTTP/1.1 200 OK\r\nX-Name: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Name: x\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "no protocol": (b"", b"x"),
}
ENDLESS_EVENTS = {
    "event": (b"data: ", b"x"),
    "lines of one event": (b"", b"data: x\n"),
    "comments": (b"", b":\n\n"),
}


def build_endless_answer(
    content_type: str, start: bytes = b"", chunk_start: bytes | None = None
) -> bytes:
    """Return the start of an answer whose body has no known length.

    :param chunk_start: the start of a chunk, for a body that is sent in chunks.
    """
    headers = [
        b"HTTP/1.1 200 OK",
        b"Content-Type: " + content_type.encode(),
        b"X-Figshunt-Attempt-Id: a1",
        b"X-Figshunt-Server-Stamp: stamp",
    ]
    if chunk_start is not None:
        headers.append(b"Transfer-Encoding: chunked")
        start = chunk_start + start
    return b"\r\n".join([*headers, b"", start])


def build_endless_answers() -> dict[str, tuple[bytes, bytes]]:
    """Return answers of a runner in trouble by what never ends in them."""
    plain, events = "application/json", "text/event-stream"
    bodies = {
        "body": (build_endless_answer(plain), b"x"),
        "chunk": (build_endless_answer(plain, chunk_start=b"FFFFFFFFFF\r\n"), b"x"),
        "chunks": (build_endless_answer(plain, chunk_start=b""), b"1\r\nx\r\n"),
        "chunk extension": (build_endless_answer(plain, chunk_start=b"1;"), b"x"),
        "trailers": (build_endless_answer(plain, chunk_start=b"0\r\n"), b"X-A: x\r\n"),
    }
    streams = {
        name: (build_endless_answer(events, start), repeated)
        for name, (start, repeated) in ENDLESS_EVENTS.items()
    }
    return ENDLESS_HEADS | bodies | streams


def build_cut_heads() -> list[bytes]:
    """Return answers with a length, chunks, or neither, each cut within its head."""
    framings = (b"Content-Length: 40\r\n", b"Transfer-Encoding: chunked\r\n", b"")
    heads = [
        b"HTTP/1.1 200 OK\r\nX-Figshunt-Attempt-Id: a1\r\n"
        b"X-Figshunt-Server-Stamp: stamp\r\n%sContent-Type: text/event-stream\r\n\r\n"
        % framing
        for framing in framings
    ]
    return [head[:length] for head in heads for length in range(1, len(head))]


def build_invalid_statuses() -> list[str]:
    """Return statuses that no response may have."""
    return ["000", "099", "101", "600", "999"]


def build_answer_head(
    status: str, content_type: str, framing: bytes = b"", *, not_run: bool = False
) -> bytes:
    """Return the head of a runner's answer to the request ``a1``.

    :param framing: the header that tells the length; by default the answer ends with
        its connection.
    """
    refusal = b"X-Figshunt-Not-Executed: 1\r\nRetry-After: 1\r\n" if not_run else b""
    return (
        f"HTTP/1.1 {status} Status\r\nX-Figshunt-Attempt-Id: a1\r\n"
        f"X-Figshunt-Server-Stamp: stamp\r\nContent-Type: {content_type}\r\n"
    ).encode() + b"Connection: close\r\n%s%s\r\n" % (framing, refusal)


def build_raw_request(
    path: str,
    headers: Mapping[str, str],
    body: bytes = b"",
    *,
    method: str = "POST",
    chunk_bytes: int | None = None,
) -> bytes:
    """Return the bytes of an HTTP request.

    :param chunk_bytes: size of the chunks of a body that is sent without a length.
    """
    framing = {"Content-Length": str(len(body))}
    if chunk_bytes is not None:
        framing = {"Transfer-Encoding": "chunked"}
        chunks = split_bytes(body, chunk_bytes)
        body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
        body += b"0\r\n\r\n"
    fields = {**headers, **framing}.items()
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {text}" for name, text in fields)]
    return "\r\n".join([*lines, "", ""]).encode() + body


def split_bytes(data: bytes, size: int) -> list[bytes]:
    """Return the pieces of some bytes, all but the last of the same size."""
    return [data[start : start + size] for start in range(0, len(data), size)]


def build_item(
    key: str, revision: int, value: bytes | None = b"v", era: int = 0
) -> PublishedItem:
    """Return an item of the store."""
    return PublishedItem(key, Version.of(era, revision), value)


def build_listing(
    items: Iterable[PublishedItem], revision: int, era: int = 0
) -> Listing:
    """Return an answer of the store that is complete up to a revision."""
    return Listing(tuple(items), Version.of(era, revision))
