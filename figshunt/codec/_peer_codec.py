"""Codec of peer messages as CBOR: ``[version, kind, {field: value}]``."""

import dataclasses
import types
import typing
from enum import Enum
from functools import lru_cache
from typing import Any

import cbor2

from figshunt.types import ErrorCode, FigshuntError, PeerMessage, Step

PROTOCOL_VERSION = 1
MAX_INTEGER = 2**63 - 1


class UnknownKind(Exception):
    """A peer sent a message of a kind that this version doesn't support."""


def encode_peer_message(message: PeerMessage) -> bytes:
    """Encode one message."""
    fields = _encode_value(message)
    return cbor2.dumps([PROTOCOL_VERSION, type(message).__name__, fields])


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decode one message.

    :raises UnknownKind: if the message kind is not supported, for example
        because the peer runs a newer version.
    :raises FigshuntError: with :attr:`ErrorCode.PEER_PROTOCOL` if the message
        is malformed.
    """
    try:
        _version, kind, fields = cbor2.loads(data)
    except Exception as error:
        raise _malformed(f"not a CBOR message: {type(error).__name__}") from error
    if not isinstance(kind, str):
        raise _malformed(
            f"expected a string as message kind, got {type(kind).__name__}"
        )
    message_type = _message_types_by_kind().get(kind)
    if message_type is None:
        raise UnknownKind(kind[:64])
    try:
        decoded_message = _decode_dataclass(message_type, fields)
    except (TypeError, ValueError, KeyError) as error:
        raise _malformed(f"{kind}: {error}") from error
    assert isinstance(decoded_message, PeerMessage)
    return decoded_message


def _malformed(detail: str) -> FigshuntError:
    return FigshuntError(ErrorCode.PEER_PROTOCOL, Step.PEER_LINK, detail)


@lru_cache(maxsize=1)
def _message_types_by_kind() -> dict[str, type[PeerMessage]]:
    return {
        message_type.__name__: message_type
        for message_type in PeerMessage.__subclasses__()
    }


@lru_cache(maxsize=256)
def _field_types(message_type: type) -> dict[str, Any]:
    return typing.get_type_hints(message_type)


def _encode_value(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return {
            field.name: _encode_value(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (tuple, list)):
        return [_encode_value(item) for item in value]
    return value


def _decode_dataclass(message_type: type, fields: Any) -> object:
    if not isinstance(fields, dict):
        raise TypeError(f"expected a map of fields, got {type(fields).__name__}")
    hints = _field_types(message_type)
    known_names = {field.name for field in dataclasses.fields(message_type)}
    values = {
        name: _decode_value(hints[name], value)
        for name, value in fields.items()
        if name in known_names
    }
    return message_type(**values)


def _decode_value(hint: Any, value: Any) -> Any:
    """Decode a value of the type ``hint``; a union must be of a type and ``None``."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        if value is None:
            return None
        members = [
            member for member in typing.get_args(hint) if member is not type(None)
        ]
        return _decode_value(members[0], value)
    if origin is tuple:
        item_hint = typing.get_args(hint)[0]
        if not isinstance(value, list):
            raise TypeError(f"expected a list, got {type(value).__name__}")
        return tuple(_decode_value(item_hint, item) for item in value)
    hint = getattr(hint, "__supertype__", hint)
    if dataclasses.is_dataclass(hint):
        assert isinstance(hint, type)
        return _decode_dataclass(hint, value)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint(value)
    if not isinstance(value, hint) or (hint is int and isinstance(value, bool)):
        raise TypeError(f"expected {hint.__name__}, got {type(value).__name__}")
    if hint is int and abs(value) > MAX_INTEGER:
        raise ValueError("integer exceeds 2**63 - 1 in magnitude")
    return value
