"""Recorded traces: one JSON object a line, the first line tells the origin."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from figshunt.types import RouteName, TeamName


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """Where a trace comes from: the command and seed that generated it."""

    name: str
    command: str
    seed: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a trace.

    ``at_ms`` counts from the start of the trace. ``prefix`` names a shared
    beginning of the prompt of ``prefix_tokens`` tokens, which count as part
    of ``prompt_tokens``. ``name`` is stable; idempotency keys are issued at
    replay, because they carry the time at which they were issued.
    ``output_tokens`` is 0 for plain services.
    """

    at_ms: int
    route: RouteName
    team: TeamName
    name: str
    prompt_tokens: int
    output_tokens: int = 0
    prefix: str = ""
    prefix_tokens: int = 0
    is_repeatable: bool = True


def encode_header(header: TraceHeader) -> str:
    """Encode the first line."""
    return json.dumps(
        {
            "trace": header.name,
            "generated_by": header.command,
            "seed": header.seed,
            "duration_ms": header.duration_ms,
        }
    )


def encode_request(request: TraceRequest) -> str:
    """Encode one request; fields at their default are left out."""
    fields: dict[str, Any] = {
        "at": request.at_ms,
        "route": request.route,
        "team": request.team,
        "name": request.name,
        "prompt": request.prompt_tokens,
    }
    if request.output_tokens:
        fields["output"] = request.output_tokens
    if request.prefix:
        fields["prefix"] = [request.prefix, request.prefix_tokens]
    if not request.is_repeatable:
        fields["repeatable"] = False
    return json.dumps(fields, separators=(",", ":"))


def decode_header(line: str) -> TraceHeader:
    """Decode the first line.

    :raises ValueError: if it isn't the header of a trace.
    """
    try:
        fields = json.loads(line)
        return TraceHeader(
            name=str(fields["trace"]),
            command=str(fields["generated_by"]),
            seed=int(fields["seed"]),
            duration_ms=int(fields["duration_ms"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"not the header of a trace: {error!r}") from error


def decode_request(line: str) -> TraceRequest:
    """Decode one request.

    :raises ValueError: if the line isn't a request of a trace.
    """
    try:
        fields = json.loads(line)
        prefix, prefix_tokens = fields.get("prefix", ("", 0))
        return TraceRequest(
            at_ms=int(fields["at"]),
            route=RouteName(str(fields["route"])),
            team=TeamName(str(fields["team"])),
            name=str(fields["name"]),
            prompt_tokens=int(fields["prompt"]),
            output_tokens=int(fields.get("output", 0)),
            prefix=str(prefix),
            prefix_tokens=int(prefix_tokens),
            is_repeatable=bool(fields.get("repeatable", True)),
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a request of a trace: {error!r}") from error


def read_header(path: Path) -> TraceHeader:
    """Read the first line of a trace file.

    :raises OSError: if the file can't be read.
    :raises ValueError: if it isn't a trace.
    """
    with path.open(encoding="utf-8") as lines:
        return decode_header(lines.readline())


def read_requests(path: Path) -> Iterator[TraceRequest]:
    """Yield the requests of a trace file one by one, without keeping them.

    :raises ValueError: with the line number, if a line is malformed or is
        earlier than the one before it.
    """
    last_ms = 0
    with path.open(encoding="utf-8") as lines:
        next(lines, None)
        for number, line in enumerate(lines, start=2):
            try:
                request = decode_request(line)
            except ValueError as error:
                raise ValueError(f"{path}:{number}: {error}") from error
            if request.at_ms < last_ms:
                raise ValueError(f"{path}:{number}: earlier than the line before")
            last_ms = request.at_ms
            yield request


def write_trace(
    path: Path, header: TraceHeader, requests: Iterable[TraceRequest]
) -> int:
    """Write a trace file and return the number of requests."""
    count = 0
    with path.open("w", encoding="utf-8") as output:
        output.write(encode_header(header) + "\n")
        for request in requests:
            output.write(encode_request(request) + "\n")
            count += 1
    return count
