"""Shares the event loop's time between the streams of servers and everything else."""

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from figshunt.types import Clock

# After so many steps the next stream has its turn.
STEPS_PER_TURN = 8

# Steps that streams may take in one turn of the event loop, and the time after which
# the others wait for its next turn in any case. A request of another service needs
# some ten turns until it is answered.
STEPS_PER_SLICE = 64
SLICE_MS = 4

# A stream may take so many steps a second, which is more than model engines produce,
# and make up for a second.
STEPS_PER_S = 200
MAX_SAVED_STEPS = 200

# A step that takes long counts as so many more for each ms. One of an engine's stream
# takes a small part of that.
STEPS_PER_MS = 4

# What streams have beyond that gets this share of the time.
EXCESS_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class _Work:
    """What a stream has yet to do; ``done`` ends the wait for it."""

    stream: "StreamTurn"
    steps: Iterator[None]
    done: asyncio.Future[None]


class StreamTurns:
    """Lets streams take turns, so that none of them delays other work for long.

    A server may send any number of short events at once. In one turn of the event
    loop all streams together take a bounded number of steps, however many there are.
    Streams with more steps than an engine produces share a part of the time, so that
    they leave the processor to the rest.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._regular: deque[_Work] = deque()
        self._excess: deque[_Work] = deque()
        self._excess_from_ms = 0
        self._steps_left = STEPS_PER_SLICE
        self._slice: asyncio.Handle | None = None

    def open_stream(self) -> "StreamTurn":
        """Return the turns of one more stream."""
        return StreamTurn(self)

    def now_ms(self) -> int:
        """Return the time."""
        return self._clock.now().monotonic_ms

    def take_first_steps(self, stream: "StreamTurn", steps: Iterator[None]) -> bool:
        """Take steps without a wait if none is needed; return whether they are all."""
        if self._regular or self._steps_left <= 0:
            return False
        now_ms = self.now_ms()
        if not stream.has_allowance(now_ms):
            return False
        self._schedule(0)
        return self._take_turn(stream, steps, now_ms, now_ms + SLICE_MS)

    def add(self, work: _Work) -> None:
        """Let a stream wait for its turns."""
        is_allowed = work.stream.has_allowance(self.now_ms())
        (self._regular if is_allowed else self._excess).append(work)
        self._schedule(0)

    def _schedule(self, delay_ms: int) -> None:
        """Run a slice at the next turn of the event loop, or later."""
        if self._slice is not None:
            if delay_ms or not isinstance(self._slice, asyncio.TimerHandle):
                return
            self._slice.cancel()
        loop = asyncio.get_running_loop()
        if delay_ms:
            self._slice = loop.call_later(delay_ms / 1000, self._run_slice)
        else:
            self._slice = loop.call_soon(self._run_slice)

    def _run_slice(self) -> None:
        self._slice = None
        self._steps_left = STEPS_PER_SLICE
        now_ms = started_ms = self.now_ms()
        end_ms = started_ms + SLICE_MS
        while self._regular and self._steps_left > 0 and now_ms < end_ms:
            self._take_next(self._regular, now_ms, end_ms)
            now_ms = self.now_ms()
        if self._excess and now_ms >= self._excess_from_ms:
            started_ms, end_ms = now_ms, now_ms + SLICE_MS
            self._steps_left = max(self._steps_left, STEPS_PER_TURN)
            while self._excess and self._steps_left > 0 and now_ms < end_ms:
                self._take_next(self._excess, now_ms, end_ms)
                now_ms = self.now_ms()
            pause_ms = (now_ms - started_ms) * (1 / EXCESS_SHARE - 1)
            self._excess_from_ms = now_ms + int(pause_ms)
        if self._regular:
            self._schedule(0)
        elif self._excess:
            self._schedule(max(0, self._excess_from_ms - now_ms))

    def _take_next(self, queue: deque[_Work], now_ms: int, end_ms: int) -> None:
        """Give the first stream of a queue its turn, and queue its rest again."""
        work = queue.popleft()
        if work.done.done():
            # The stream was cancelled while it waited.
            return
        try:
            is_finished = self._take_turn(work.stream, work.steps, now_ms, end_ms)
        except Exception as error:
            work.done.set_exception(error)
            return
        if is_finished:
            work.done.set_result(None)
        elif queue is self._regular and work.stream.has_allowance(now_ms):
            self._regular.append(work)
        else:
            work.stream.drop_allowance(now_ms)
            self._excess.append(work)

    def _take_turn(
        self, stream: "StreamTurn", steps: Iterator[None], now_ms: int, end_ms: int
    ) -> bool:
        """Take the steps of one turn; return whether they were the last ones."""
        for _ in range(STEPS_PER_TURN):
            self._steps_left -= 1
            try:
                next(steps)
            except StopIteration:
                return True
            started_ms, now_ms = now_ms, self.now_ms()
            stream.spend(1 + (now_ms - started_ms) * STEPS_PER_MS, now_ms)
            if now_ms >= end_ms:
                break
        return False


class StreamTurn:
    """The turns of one stream, and how many steps it may take at present.

    Steps are saved while the stream has no more of them waiting than it may take.
    """

    def __init__(self, turns: StreamTurns) -> None:
        self._turns = turns
        self._saved_steps = float(MAX_SAVED_STEPS)
        self._saved_ms = turns.now_ms()

    async def run(self, steps: Iterator[None]) -> None:
        """Take all steps, in turn with other streams."""
        if self._turns.take_first_steps(self, steps):
            return
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._turns.add(_Work(self, steps, done))
        await done

    def has_allowance(self, now_ms: int) -> bool:
        """Return whether the next step is one that an engine may produce."""
        elapsed_ms = now_ms - self._saved_ms
        self._saved_ms = now_ms
        self._saved_steps = min(
            MAX_SAVED_STEPS, self._saved_steps + elapsed_ms * STEPS_PER_S / 1000
        )
        return self._saved_steps >= 1

    def spend(self, steps: int, now_ms: int) -> None:
        """Count steps; those beyond the allowance leave no debt."""
        if self.has_allowance(now_ms):
            self._saved_steps = max(0.0, self._saved_steps - steps)

    def drop_allowance(self, now_ms: int) -> None:
        """Record that more steps wait than the stream may take."""
        self._saved_steps = 0.0
        self._saved_ms = now_ms
