"""The HTTP request that a trace line stands for."""

import json
from dataclasses import dataclass

from figshunt.replay._trace import TraceRequest

BYTES_PER_TOKEN = 4
FILLER = "worn brake pad replaced; next service due in spring. "


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Path and body to send."""

    path: str
    body: bytes


def build_outgoing(request: TraceRequest) -> OutgoingRequest:
    """Return the same path and body for the same trace line every time."""
    if not request.output_tokens:
        text = _fill(request.name, request.prompt_tokens)
        body = json.dumps({"name": request.name, "details": text})
        return OutgoingRequest(f"/route/{request.route}/run", body.encode())
    prefix = _fill(request.prefix, request.prefix_tokens)
    own = _fill(request.name, max(1, request.prompt_tokens - request.prefix_tokens))
    document = {
        "model": request.route,
        "stream": True,
        "max_tokens": request.output_tokens,
        "messages": [{"role": "user", "content": prefix + own}],
    }
    return OutgoingRequest("/v1/chat/completions", json.dumps(document).encode())


def _fill(name: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    text = f"{name}: "
    return (text + FILLER * (size // len(FILLER) + 1))[:size]
