"""Reads bodies of responses in pieces of limited size."""

from collections.abc import Iterator

import aiohttp

# A read of many bytes that came in tiny chunks takes long in the HTTP library.
STREAM_PIECE_BYTES = 512
BODY_PIECE_BYTES = 4 * 1024


def iterate_received(
    content: aiohttp.StreamReader, first_piece: bytes, max_bytes: int
) -> Iterator[bytes]:
    """Yield a piece of a body, and then what has been received behind it so far."""
    piece = first_piece
    while piece:
        yield piece
        piece = content.read_nowait(max_bytes)
