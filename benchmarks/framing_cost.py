"""Cost of finding where requests end, by the sizes of the pieces they come in.

The time has to grow with the number of bytes only: a caller that sends small chunks,
or a long head in small pieces, must not hold up the others.
"""

import time

from figshunt.runtime import RequestFraming

READ_BYTES = 256 * 1024
SMALL_READ_BYTES = 4 * 1024
ROUNDS = 5
SMALL_CHUNKS = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + (
    b"1\r\nv\r\n" * (READ_BYTES // 6)
)
LONG_HEAD = b"GET / HTTP/1.1\r\nX: " + b"v" * 4 * 1024 * 1024


def split(data: bytes, piece_bytes: int) -> list[bytes]:
    """Return the pieces of some bytes, all but the last of the same size."""
    return [data[i : i + piece_bytes] for i in range(0, len(data), piece_bytes)]


def measure_feeding_s(pieces: list[bytes]) -> float:
    """Return the shortest time in which all pieces are processed."""
    durations_s = []
    for _ in range(ROUNDS):
        framing = RequestFraming()
        start_s = time.perf_counter()
        for piece in pieces:
            framing.feed(piece)
        durations_s.append(time.perf_counter() - start_s)
    return min(durations_s)


def main() -> None:
    """Print the figures with their ratios to baselines of the same run."""
    small_reads_s = measure_feeding_s(split(SMALL_CHUNKS, SMALL_READ_BYTES))
    large_read_s = measure_feeding_s([SMALL_CHUNKS])
    pieces = split(LONG_HEAD, 1024)
    eighth_s = measure_feeding_s(pieces[: len(pieces) // 8])
    whole_s = measure_feeding_s(pieces)
    print(
        f"framing_cost: small chunks {large_read_s * 1000:.1f} ms in one read"
        f" ({large_read_s / small_reads_s:.2f} x of small reads);"
        f" head of 4 MB {whole_s * 1000:.1f} ms"
        f" ({whole_s / eighth_s:.1f} x of an eighth)"
    )


if __name__ == "__main__":
    main()
