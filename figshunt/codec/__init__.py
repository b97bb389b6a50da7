"""Encoding and decoding of requests, documents and peer messages."""

from figshunt.codec._caller_codec import (
    DecodedBody,
    decode_completion_body,
    encode_error,
    fingerprint_content,
    hash_prefixes,
)
from figshunt.codec._caller_headers import (
    decode_bearer_key,
    decode_content_type,
    decode_idempotency_key,
    decode_runner_path,
)
from figshunt.codec._documents import (
    decode_document,
    decode_settings,
    decode_tables,
    read_settings,
)
from figshunt.codec._peer_codec import (
    UnknownKind,
    decode_peer_message,
    encode_peer_message,
)

__all__ = [
    "DecodedBody",
    "UnknownKind",
    "decode_bearer_key",
    "decode_completion_body",
    "decode_content_type",
    "decode_document",
    "decode_idempotency_key",
    "decode_peer_message",
    "decode_runner_path",
    "decode_settings",
    "decode_tables",
    "encode_error",
    "encode_peer_message",
    "fingerprint_content",
    "hash_prefixes",
    "read_settings",
]
