"""Log lines never stop the daemon."""

import asyncio
import os
import unittest

from figshunt.gateway import LineOutput

LINE = "event=x " + "y" * 200 + "\n"
MANY = 5_000
GENEROUS_S = 20.0


class LineOutputTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that stands still because nobody reads its log."""

    async def asyncSetUp(self) -> None:
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, self.writing)
        self.output = LineOutput(self.writing)
        self.output.attach(asyncio.get_running_loop())

    def write_lines(self, count: int) -> None:
        for _ in range(count):
            self.output.write(LINE)
            self.output.flush()

    async def read_until(self, wanted: bytes) -> bytes:
        os.set_blocking(self.reading, False)
        text = b""
        async with asyncio.timeout(GENEROUS_S):
            while wanted not in text:
                try:
                    text += os.read(self.reading, 1 << 20)
                except BlockingIOError:
                    await asyncio.sleep(0.02)
        return text

    async def test_reader_that_stops_blocks_nothing(self) -> None:
        self.write_lines(MANY)

    async def test_lines_left_out_are_counted(self) -> None:
        self.write_lines(MANY)
        text = await self.read_until(b"log_lines_left_out")
        left_out = int(text.rsplit(b"lines=", 1)[1])
        self.assertEqual(MANY, text.count(b"event=x ") + left_out)

    async def test_no_line_is_torn(self) -> None:
        self.write_lines(300)
        text = await self.read_until(LINE.encode() * 300)
        self.assertEqual({LINE.strip().encode()}, set(text.split(b"\n")[:-1]))


if __name__ == "__main__":
    unittest.main()
