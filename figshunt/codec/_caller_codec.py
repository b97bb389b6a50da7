"""Decodes the request bodies of callers and encodes error answers."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import xxhash

from figshunt.types import (
    ErrorCode,
    FigshuntError,
    Fingerprint,
    RouteName,
    Step,
)

PREFIX_BLOCK_BYTES = 1024
MAX_PREFIX_BLOCKS = 32
BYTES_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class DecodedBody:
    """The fields of a request body that are used for routing."""

    route: RouteName
    stream: bool
    prompt_tokens: int
    prefixes: tuple[str, ...]


def decode_completion_body(body: bytes) -> DecodedBody:
    """Decode a chat-completions or completions body.

    The route is the body's ``model``.

    :raises FigshuntError: with :attr:`ErrorCode.BAD_REQUEST` if the body is not
        a valid body of either kind.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _bad_request(f"body is not JSON: {type(error).__name__}") from error
    if not isinstance(document, dict):
        raise _bad_request("body is not a JSON object")
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise _bad_request("'model' must be a non-empty string")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise _bad_request("'stream' must be true or false")
    prompt = _prompt_text(document).encode("utf-8", "surrogatepass")
    return DecodedBody(
        route=RouteName(model),
        stream=stream,
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        prefixes=hash_prefixes(prompt),
    )


def hash_prefixes(prompt: bytes) -> tuple[str, ...]:
    """Return a hash of each prefix of the prompt that consists of whole blocks.

    The shortest prefix comes first. Only the first ``MAX_PREFIX_BLOCKS`` blocks
    are hashed.
    """
    block_count = min(len(prompt) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    hasher = xxhash.xxh64()
    hashes = []
    for block_index in range(block_count):
        start = block_index * PREFIX_BLOCK_BYTES
        hasher.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(hasher.hexdigest())
    return tuple(hashes)


def fingerprint_content(path: str, body: bytes) -> Fingerprint:
    """Return a fingerprint that depends only on the path and the body.

    The same content therefore has the same fingerprint for all callers.
    """
    hasher = xxhash.xxh128(path.encode())
    hasher.update(b"\0")
    hasher.update(body)
    return Fingerprint(hasher.hexdigest())


def encode_error(fields: Mapping[str, Any]) -> bytes:
    """Encode the body of an error answer as JSON."""
    return json.dumps({"error": dict(fields)}).encode()


def _prompt_text(document: Mapping[str, Any]) -> str:
    messages = document.get("messages")
    if messages is not None:
        if not isinstance(messages, list):
            raise _bad_request("'messages' must be a list")
        return "\n".join(_message_text(message) for message in messages)
    prompt = document.get("prompt")
    if not isinstance(prompt, str):
        raise _bad_request("body has neither 'messages' nor a string 'prompt'")
    return prompt


def _message_text(message: Any) -> str:
    if not isinstance(message, dict):
        raise _bad_request("each item of 'messages' must be an object")
    content = message.get("content", "")
    if isinstance(content, str):
        return content
    return json.dumps(content, sort_keys=True)


def _bad_request(detail: str) -> FigshuntError:
    return FigshuntError(ErrorCode.BAD_REQUEST, Step.CALLER_LISTENER, detail)
