"""Log output never blocks the event loop."""

import asyncio
import os
import unittest

from figshunt.gateway import LineOutput

LINE = "event=x " + "y" * 200 + "\n"
LINE_COUNT = 5_000
READ_TIMEOUT_S = 20.0


class LineOutputTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that blocks because its log isn't read."""

    async def asyncSetUp(self) -> None:
        self.read_descriptor, self.write_descriptor = os.pipe()
        self.addCleanup(os.close, self.read_descriptor)
        self.addCleanup(os.close, self.write_descriptor)
        self.output = LineOutput(self.write_descriptor)
        self.output.attach(asyncio.get_running_loop())

    def write_lines(self, count: int) -> None:
        for _ in range(count):
            self.output.write(LINE)
            self.output.flush()

    async def read_until(self, expected: bytes) -> bytes:
        os.set_blocking(self.read_descriptor, False)
        text = b""
        async with asyncio.timeout(READ_TIMEOUT_S):
            while expected not in text:
                try:
                    text += os.read(self.read_descriptor, 1 << 20)
                except BlockingIOError:
                    await asyncio.sleep(0.02)
        return text

    async def test_full_pipe_does_not_block_the_writer(self) -> None:
        self.write_lines(LINE_COUNT)

    async def test_dropped_lines_are_counted(self) -> None:
        self.write_lines(LINE_COUNT)
        text = await self.read_until(b"log_lines_left_out")
        dropped_lines = int(text.rsplit(b"lines=", 1)[1])
        self.assertEqual(LINE_COUNT, text.count(b"event=x ") + dropped_lines)

    async def test_lines_are_written_completely(self) -> None:
        self.write_lines(300)
        text = await self.read_until(LINE.encode() * 300)
        self.assertEqual({LINE.strip().encode()}, set(text.split(b"\n")[:-1]))


if __name__ == "__main__":
    unittest.main()
