"""Recorded traces: files of JSON lines, of which the first is the header."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from figshunt.types import RouteName, TeamName


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """The origin of a trace: the command and the seed that generated it."""

    name: str
    command: str
    seed: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """One request of a trace.

    ``at_ms`` is the arrival time since the start of the trace. ``prefix``
    identifies a shared prompt prefix of ``prefix_tokens`` tokens, which are
    included in ``prompt_tokens``. ``name`` is the same in every replay;
    idempotency keys are issued during the replay, because they contain the
    time at which they were issued. ``output_tokens`` is 0 for plain services.
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
    """Encode the header as the first line of a trace."""
    return json.dumps(
        {
            "trace": header.name,
            "generated_by": header.command,
            "seed": header.seed,
            "duration_ms": header.duration_ms,
        }
    )


def encode_request(request: TraceRequest) -> str:
    """Encode one request, omitting fields that have their default value."""
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
    """Decode the first line of a trace.

    :raises ValueError: if the line isn't the header of a trace.
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
        raise ValueError(f"invalid trace header: {error!r}") from error


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
        raise ValueError(f"invalid trace request: {error!r}") from error


def read_header(path: Path) -> TraceHeader:
    """Read the header of a trace file.

    :raises OSError: if the file can't be read.
    :raises ValueError: if the file doesn't start with the header of a trace.
    """
    with path.open(encoding="utf-8") as lines:
        return decode_header(lines.readline())


def read_requests(path: Path) -> Iterator[TraceRequest]:
    """Yield the requests of a trace file, reading one line at a time.

    :raises ValueError: with the line number, if a line is malformed or its
        arrival time is earlier than that of the line before.
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
                raise ValueError(
                    f"{path}:{number}: arrival time {request.at_ms} ms is earlier "
                    f"than {last_ms} ms of the line before"
                )
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
