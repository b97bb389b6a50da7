"""Real processes started, signalled and ended by a test."""

import asyncio
import contextlib
import os
import re
import signal
import sys
from collections import deque
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
KEPT_LINES = 2_000
START_LIMIT_S = 30.0


class ManagedProcess:
    """One child process; its output lines are kept, the oldest dropped."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self.lines: deque[str] = deque(maxlen=KEPT_LINES)
        self._line_arrived = asyncio.Event()
        self._readers = [
            asyncio.create_task(self._read(stream))
            for stream in (process.stdout, process.stderr)
            if stream is not None
        ]

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def returncode(self) -> int | None:
        """Return the exit status, or ``None`` while the process runs."""
        return self._process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def wait(self, limit_s: float = START_LIMIT_S) -> int:
        """Wait until the process ends and return its status."""
        async with asyncio.timeout(limit_s):
            return await self._process.wait()

    async def end(self) -> None:
        """Kill the process if it still runs, and wait for it."""
        if self._process.returncode is None:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        await asyncio.gather(*self._readers, return_exceptions=True)

    async def wait_for_line(
        self, pattern: str, limit_s: float = START_LIMIT_S
    ) -> re.Match[str]:
        """Return the match of the first output line with ``pattern`` in it."""
        expression = re.compile(pattern)
        async with asyncio.timeout(limit_s):
            while True:
                for line in self.lines:
                    if match := expression.search(line):
                        return match
                if self._process.returncode is not None:
                    raise AssertionError("\n".join(self.lines))
                self._line_arrived.clear()
                await self._line_arrived.wait()

    async def _read(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            self.lines.append(line.decode(errors="replace").rstrip("\n"))
            self._line_arrived.set()
        self._line_arrived.set()


async def start_module(module: str, arguments: Sequence[str]) -> ManagedProcess:
    """Start ``python -m module arguments...`` with this interpreter."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        cwd=ROOT,
        env=os.environ | {"PYTHONUNBUFFERED": "1", "PYTHONPATH": str(ROOT)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    return ManagedProcess(process)
