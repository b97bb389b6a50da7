"""Child processes that a test starts, signals and ends."""

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
MAX_KEPT_LINES = 2_000
WAIT_TIMEOUT_S = 30.0


class ManagedProcess:
    """A child process and its most recent output lines.

    ``lines`` holds the lines of standard output and standard error, at most
    ``MAX_KEPT_LINES`` of them.
    """

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self.lines: deque[str] = deque(maxlen=MAX_KEPT_LINES)
        self._output_changed = asyncio.Event()
        self._readers = [
            asyncio.create_task(self._read_lines(stream))
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

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal; do nothing if the process has already ended."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(signal_number)

    async def wait(self, timeout_s: float = WAIT_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit status.

        :raises TimeoutError: if it is still running after ``timeout_s``.
        """
        async with asyncio.timeout(timeout_s):
            return await self._process.wait()

    async def kill_and_wait(self) -> None:
        """Kill the process if it is still running, and wait until it has ended."""
        if self._process.returncode is None:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        await asyncio.gather(*self._readers, return_exceptions=True)

    async def wait_for_line(
        self, pattern: str, timeout_s: float = WAIT_TIMEOUT_S
    ) -> re.Match[str]:
        """Wait for an output line that matches ``pattern`` and return the match.

        Lines that arrived before the call are searched as well.

        :raises AssertionError: if the process ends without such a line.
        :raises TimeoutError: if there is no such line within ``timeout_s``.
        """
        expression = re.compile(pattern)
        async with asyncio.timeout(timeout_s):
            while True:
                for line in self.lines:
                    if match := expression.search(line):
                        return match
                if self._process.returncode is not None:
                    raise AssertionError("\n".join(self.lines))
                self._output_changed.clear()
                await self._output_changed.wait()

    async def _read_lines(self, stream: asyncio.StreamReader) -> None:
        while True:
            try:
                line = await stream.readline()
            except ValueError:
                # The stream has dropped a line beyond its limit. If it was read no
                # more, the process would wait for its output.
                continue
            if not line:
                break
            self.lines.append(line.decode(errors="replace").rstrip("\n"))
            self._output_changed.set()
        self._output_changed.set()


async def start_module(module: str, arguments: Sequence[str]) -> ManagedProcess:
    """Start ``python -m module arguments...`` with the current interpreter."""
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
