"""Builds the HTTP request for a line of a trace."""

import json
from dataclasses import dataclass

from figshunt.replay._trace import TraceRequest

BYTES_PER_TOKEN = 4
FILLER_TEXT = "worn brake pad replaced; next service due in spring. "


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Path and body of an HTTP request."""

    path: str
    body: bytes


def build_outgoing_request(request: TraceRequest) -> OutgoingRequest:
    """Build the path and body; equal trace lines give equal results."""
    if not request.output_tokens:
        text = _build_text(request.name, request.prompt_tokens)
        body = json.dumps({"name": request.name, "details": text})
        return OutgoingRequest(f"/route/{request.route}/run", body.encode())
    prefix = _build_text(request.prefix, request.prefix_tokens)
    own_text = _build_text(
        request.name, max(1, request.prompt_tokens - request.prefix_tokens)
    )
    document = {
        "model": request.route,
        "stream": True,
        "max_tokens": request.output_tokens,
        "messages": [{"role": "user", "content": prefix + own_text}],
    }
    return OutgoingRequest("/v1/chat/completions", json.dumps(document).encode())


def _build_text(name: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    text = f"{name}: "
    return (text + FILLER_TEXT * (size // len(FILLER_TEXT) + 1))[:size]
