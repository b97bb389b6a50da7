"""Peer messages as CBOR: ``[version, kind, {field: value}]``."""

import dataclasses
import types
import typing
from enum import Enum
from functools import lru_cache
from typing import Any

import cbor2

from figshunt.types import ErrorCode, FigshuntError, PeerMessage, Step

PROTOCOL_VERSION = 1
LARGEST_INTEGER = 2**63 - 1


class UnknownKind(Exception):
    """A peer sent a kind of message that this version doesn't know."""


def encode_peer_message(message: PeerMessage) -> bytes:
    """Encode one message."""
    fields = _encode_value(message)
    return cbor2.dumps([PROTOCOL_VERSION, type(message).__name__, fields])


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decode one message.

    :raises UnknownKind: if a newer peer sent a kind that isn't known here.
    :raises FigshuntError: with :attr:`ErrorCode.PEER_PROTOCOL` for anything
        that isn't a well-formed message.
    """
    try:
        _version, kind, fields = cbor2.loads(data)
    except Exception as error:
        raise _malformed(f"not a CBOR message: {type(error).__name__}") from error
    if not isinstance(kind, str):
        raise _malformed("the kind is not text")
    message_type = _message_types_by_kind().get(kind)
    if message_type is None:
        raise UnknownKind(kind[:64])
    try:
        decoded = _decode_dataclass(message_type, fields)
    except (TypeError, ValueError, KeyError) as error:
        raise _malformed(f"{kind}: {error}") from error
    assert isinstance(decoded, PeerMessage)
    return decoded


def _malformed(detail: str) -> FigshuntError:
    return FigshuntError(ErrorCode.PEER_PROTOCOL, Step.PEER_LINK, detail)


@lru_cache(maxsize=1)
def _message_types_by_kind() -> dict[str, type[PeerMessage]]:
    return {one.__name__: one for one in PeerMessage.__subclasses__()}


@lru_cache(maxsize=256)
def _field_types(message_type: type) -> dict[str, Any]:
    return typing.get_type_hints(message_type)


def _encode_value(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return {
            one.name: _encode_value(getattr(value, one.name))
            for one in dataclasses.fields(value)
        }
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, (tuple, list)):
        return [_encode_value(item) for item in value]
    return value


def _decode_dataclass(message_type: type, fields: Any) -> object:
    if not isinstance(fields, dict):
        raise TypeError("fields are not a map")
    hints = _field_types(message_type)
    known = {one.name for one in dataclasses.fields(message_type)}
    values = {
        name: _decode_value(hints[name], value)
        for name, value in fields.items()
        if name in known
    }
    return message_type(**values)


def _decode_value(hint: Any, value: Any) -> Any:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        if value is None:
            return None
        inner = [one for one in typing.get_args(hint) if one is not type(None)]
        return _decode_value(inner[0], value)
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
    if hint is int and abs(value) > LARGEST_INTEGER:
        raise ValueError("an integer is out of range")
    return value
