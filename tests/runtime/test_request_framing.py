"""Whole requests are counted however their bytes are split."""

import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from figshunt.runtime import RequestFraming
from tests.builders import build_raw_request

REQUESTS = st.builds(
    lambda body, chunk_bytes: build_raw_request(
        "/chat/1", {"Host": "h.example"}, body, chunk_bytes=chunk_bytes
    ),
    st.binary(max_size=40) | st.just(b"GET / HTTP/1.1\r\n\r\n0\r\n\r\n"),
    st.none() | st.integers(1, 20),
)

# One read of the event loop.
READ_BYTES = 256 * 1024


class RequestFramingTest(unittest.TestCase):
    @given(st.lists(REQUESTS, min_size=1, max_size=4), st.lists(st.integers(1, 60)))
    def test_requests_are_counted_when_their_last_byte_comes(
        self, requests: list[bytes], sizes: list[int]
    ) -> None:
        """Guards against connections that are closed within a request."""
        data = b"".join(requests)
        ends = [len(b"".join(requests[: n + 1])) for n in range(len(requests))]
        framing = RequestFraming()
        position = 0
        for size in [*sizes, len(data)]:
            framing.feed(data[position : position + size])
            position = min(len(data), position + size)
            self.assertEqual(sum(end <= position for end in ends), framing.completed)
            self.assertEqual(position in (0, *ends), framing.is_between_requests)

    def test_endless_chunk_extension_is_not_kept(self) -> None:
        """Guards against memory that grows with bytes that the parser discards."""
        framing = RequestFraming(max_text_bytes=32 * READ_BYTES)
        framing.feed(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;")
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(16):
            framing.feed(b"v" * READ_BYTES)
        self.assertLess(tracemalloc.get_traced_memory()[1], 3 * READ_BYTES)
        framing.feed(b"\r\nabc\r\n0\r\n\r\n")
        self.assertEqual(1, framing.completed)

    def test_invalid_bytes_end_the_count(self) -> None:
        """Guards against connections that stay open, and loops without an end."""
        for data in (
            b"PRI * HTTP/2.0\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: %s\r\n\r\n" % (b"1" * 5_000),
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            # "-6" instead would be read again and again.
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nabc",
        ):
            with self.subTest(data):
                framing = RequestFraming()
                framing.feed(data)
                self.assertTrue(framing.is_between_requests)
                framing.feed(b"POST / HTTP/1.1\r\n")
                self.assertEqual(0, framing.completed)
                self.assertTrue(framing.is_between_requests)


if __name__ == "__main__":
    unittest.main()
