"""Published items as CBOR, as hosts pass them on to each other."""

from collections.abc import Sequence

import cbor2

from figshunt.directory import Item

MIRROR_FORMAT = 1


def encode_items(items: Sequence[Item], revision: int) -> bytes:
    """Return a message with items and the revision that they lead up to."""
    data: bytes = cbor2.dumps(
        [
            MIRROR_FORMAT,
            revision,
            [[item.key, item.revision, item.value] for item in items],
        ]
    )
    return data


def decode_items(data: bytes) -> tuple[list[Item], int]:
    """Return the items of a message and the revision that they lead up to.

    :raises ValueError: if it isn't such a message.
    """
    try:
        format_number, revision, rows = cbor2.loads(data)
        if format_number != MIRROR_FORMAT:
            raise ValueError(f"format {format_number}, expected {MIRROR_FORMAT}")
        items = [
            Item(str(key), int(number), None if value is None else bytes(value))
            for key, number, value in rows
        ]
        return items, int(revision)
    except (cbor2.CBORDecodeError, TypeError, EOFError) as error:
        raise ValueError(f"not a message of items: {error}") from error
