"""Streams take turns, and leave the event loop to other work."""

import asyncio
import unittest
from collections.abc import Iterator

from figshunt.runtime import STEPS_PER_SLICE, STEPS_PER_TURN, StreamTurns
from figshunt.runtime._stream_turns import (
    EXCESS_SHARE,
    MAX_SAVED_STEPS,
    SLICE_MS,
)
from figshunt.types import ManualClock, Moment

STREAMS = 50


class StreamTurnsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against streams that take the event loop from everybody else."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock(Moment(100_000, 0))
        self.turns = StreamTurns(self.clock)
        self.steps_by_stream: dict[int, int] = {}

    def take_steps(
        self, stream: int, steps: int | None = None, step_ms: int = 0
    ) -> Iterator[None]:
        """Yield after each step, without end by default."""
        self.steps_by_stream[stream] = 0
        while steps is None or self.steps_by_stream[stream] < steps:
            self.steps_by_stream[stream] += 1
            self.clock.advance(step_ms)
            yield

    def start_endless(self, streams: int, step_ms: int = 0) -> None:
        loop = asyncio.get_running_loop()
        for stream in range(streams):
            steps = self.take_steps(stream, step_ms=step_ms)
            task = loop.create_task(self.turns.open_stream().run(steps))
            self.addCleanup(task.cancel)

    def count_steps(self) -> int:
        return sum(self.steps_by_stream.values())

    async def test_steps_in_a_turn_of_the_loop_are_bounded(self) -> None:
        self.start_endless(STREAMS)
        for _ in range(200):
            before = self.count_steps()
            await asyncio.sleep(0)
            self.assertLessEqual(self.count_steps() - before, 2 * STEPS_PER_SLICE)

    async def test_time_in_a_turn_of_the_loop_is_bounded(self) -> None:
        """A slow host takes long for a step."""
        self.start_endless(STREAMS, step_ms=1)
        await asyncio.sleep(0)
        for _ in range(200):
            before_ms = self.clock.now().monotonic_ms
            await asyncio.sleep(0)
            taken_ms = self.clock.now().monotonic_ms - before_ms
            self.assertLessEqual(taken_ms, 2 * (SLICE_MS + STEPS_PER_TURN))

    async def test_steps_beyond_those_of_engines_share_a_part_of_the_time(self) -> None:
        """Guards against a processor that is busy with streams in trouble alone."""
        streams = 1
        self.start_endless(streams, step_ms=1)
        while self.count_steps() < streams * MAX_SAVED_STEPS:
            await asyncio.sleep(0.001)
            self.clock.advance(1)
        before, started_ms = self.count_steps(), self.clock.now().monotonic_ms
        while self.count_steps() < before + 25 * SLICE_MS:
            await asyncio.sleep(0.001)
            # Nothing is to be done in this time.
            self.clock.advance(1)
        elapsed_ms = self.clock.now().monotonic_ms - started_ms
        steps_ms = self.count_steps() - before
        self.assertLessEqual(steps_ms, 1.2 * EXCESS_SHARE * elapsed_ms)

    async def test_stream_of_an_engine_goes_on_beside_endless_ones(self) -> None:
        self.start_endless(STREAMS)
        for _ in range(100):
            await asyncio.sleep(0)
        sound = self.turns.open_stream()
        for number in range(20):
            steps = asyncio.create_task(sound.run(self.take_steps(1_000 + number, 2)))
            turns = 0
            while not steps.done():
                turns += 1
                await asyncio.sleep(0)
            self.assertLess(turns, 10)
            self.clock.advance(10)

    async def test_all_steps_are_taken_in_order(self) -> None:
        taken: list[int] = []

        def append_numbers(first: int) -> Iterator[None]:
            for number in range(first, first + 100):
                taken.append(number)
                yield

        stream = self.turns.open_stream()
        for first in range(0, 1_000, 100):
            await stream.run(append_numbers(first))
            self.clock.advance(1_000)
        self.assertEqual(list(range(1_000)), taken)

    async def test_error_of_a_step_ends_its_stream_alone(self) -> None:
        def fail() -> Iterator[None]:
            for _ in range(3 * STEPS_PER_TURN):
                yield
            raise ValueError("step")

        other = asyncio.create_task(
            self.turns.open_stream().run(self.take_steps(1, 100))
        )
        with self.assertRaisesRegex(ValueError, "step"):
            await self.turns.open_stream().run(fail())
        await other
        self.assertEqual(100, self.steps_by_stream[1])

    async def test_cancelled_stream_takes_no_further_steps(self) -> None:
        self.start_endless(1)
        task = asyncio.create_task(self.turns.open_stream().run(self.take_steps(7)))
        for _ in range(3):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.sleep(0)
        before = self.steps_by_stream[7]
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(before, self.steps_by_stream[7])


if __name__ == "__main__":
    unittest.main()
