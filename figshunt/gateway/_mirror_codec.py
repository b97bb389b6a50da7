"""CBOR encoding of published items for the connections between hosts."""

from collections.abc import Sequence
from dataclasses import dataclass

import cbor2

from figshunt.directory import PublishedItem

MIRROR_FORMAT = 1


@dataclass(frozen=True, slots=True)
class MirrorMessage:
    """Items, the revision to which they are complete, and the sender's store access."""

    items: tuple[PublishedItem, ...]
    revision: int
    can_read_store: bool


def encode_items(
    items: Sequence[PublishedItem], revision: int, can_read_store: bool
) -> bytes:
    """Return the bytes of a :class:`MirrorMessage`."""
    data: bytes = cbor2.dumps(
        [
            MIRROR_FORMAT,
            revision,
            can_read_store,
            [[item.key, item.revision, item.value] for item in items],
        ]
    )
    return data


def decode_items(data: bytes) -> MirrorMessage:
    """Return the message in ``data``.

    :raises ValueError: if ``data`` isn't a valid message.
    """
    try:
        format_number, revision, can_read_store, rows = cbor2.loads(data)
        if format_number != MIRROR_FORMAT:
            raise ValueError(f"mirror format {format_number}, expected {MIRROR_FORMAT}")
        items = tuple(
            PublishedItem(
                str(key), int(item_revision), None if value is None else bytes(value)
            )
            for key, item_revision, value in rows
        )
        return MirrorMessage(items, int(revision), bool(can_read_store))
    except (cbor2.CBORDecodeError, TypeError, EOFError) as error:
        raise ValueError(f"malformed mirror message: {error}") from error
