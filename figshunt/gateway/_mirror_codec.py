"""CBOR encoding of published items for the connections between hosts."""

from collections.abc import Sequence
from dataclasses import dataclass

import cbor2

from figshunt.directory import PublishedItem
from figshunt.types import Version

MIRROR_FORMAT = 3


@dataclass(frozen=True, slots=True)
class MirrorMessage:
    """Items, the version to which they are complete, and the sender's store access.

    Whether the value of an item may be copied depends on what its reader knew before,
    so that only a missing item says so.
    """

    items: tuple[PublishedItem, ...]
    version: Version
    can_read_store: bool


def encode_items(
    items: Sequence[PublishedItem],
    version: Version,
    can_read_store: bool,
) -> bytes:
    """Return the bytes of a :class:`MirrorMessage`."""
    data: bytes = cbor2.dumps(
        [
            MIRROR_FORMAT,
            [version.era, version.revision],
            can_read_store,
            [
                [
                    item.key,
                    item.version.era,
                    item.version.revision,
                    item.value,
                    item.value is None and item.may_be_copied,
                ]
                for item in items
            ],
        ]
    )
    return data


def decode_items(data: bytes) -> MirrorMessage:
    """Return the message in ``data``.

    :raises ValueError: if ``data`` isn't a valid message.
    """
    try:
        format_number, version, can_read_store, rows = cbor2.loads(data)
        if format_number != MIRROR_FORMAT:
            raise ValueError(f"mirror format {format_number}, expected {MIRROR_FORMAT}")
        items = tuple(
            PublishedItem(
                str(key),
                Version.of(int(item_era), int(item_revision)),
                None if value is None else bytes(value),
                bool(may_be_copied),
            )
            for key, item_era, item_revision, value, may_be_copied in rows
        )
        era, revision = map(int, version)
        return MirrorMessage(items, Version.of(era, revision), bool(can_read_store))
    except (cbor2.CBORDecodeError, TypeError, EOFError) as error:
        raise ValueError(f"malformed mirror message: {error}") from error
