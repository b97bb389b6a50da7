"""Starts the processes of a benchmark on loopback ports and stops them."""

import json
import os
import re
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import IO, Any

LOOPBACK = {"ip": "127.0.0.1", "port": 0}
UTIME_INDEX = 13
STIME_INDEX = 14
STOP_TIMEOUT_S = 10


class ProcessGroup:
    """The processes of one benchmark run, as a context manager that stops them."""

    def __init__(self) -> None:
        self._processes: list[subprocess.Popen[str]] = []

    def __enter__(self) -> "ProcessGroup":
        """Return the process group itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Terminate the processes in reverse order of their start.

        A process that has not exited after ``STOP_TIMEOUT_S`` is killed.
        """
        for process in reversed(self._processes):
            process.terminate()
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start_standin(self, *arguments: str) -> str:
        """Start a stand-in process and return its base URL."""
        process = self._start("figshunt.standins", arguments, subprocess.PIPE, None)
        assert process.stdout is not None
        return f"http://127.0.0.1:{_read_number(process.stdout, 'port')}"

    def start_daemon(
        self, settings: Mapping[str, Any], folder: Path
    ) -> tuple[str, str, int]:
        """Start a daemon and return its caller URL, admin URL and process id."""
        path = folder / f"{settings['host']}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = self._start("figshunt", ("serve", str(path)), None, subprocess.PIPE)
        assert process.stderr is not None
        line = _read_line(process.stderr, "caller_port")
        caller, admin = (
            _find_number(line, f"{listener}_port") for listener in LISTENERS
        )
        return f"http://127.0.0.1:{caller}", f"http://127.0.0.1:{admin}", process.pid

    def _start(
        self,
        module: str,
        arguments: Sequence[str],
        stdout: int | None,
        stderr: int | None,
    ) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=stdout,
            stderr=stderr,
            text=True,
        )
        self._processes.append(process)
        return process


LISTENERS = ("caller", "admin")


def read_cpu_ms(process_id: int) -> float:
    """Return the CPU time that a process has used, in milliseconds."""
    text = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii")
    fields = text.rsplit(")", 1)[1].split()
    # The text after the closing parenthesis starts with the third field of proc(5).
    # The constants count all fields from 0, so an index here is 2 lower.
    ticks = int(fields[UTIME_INDEX - 2]) + int(fields[STIME_INDEX - 2])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")


def _read_number(stream: IO[str], name: str) -> int:
    return _find_number(_read_line(stream, name), name)


def _read_line(stream: IO[str], name: str) -> str:
    for line in stream:
        if f"{name}=" in line:
            return line
    raise RuntimeError(f"process closed its output before printing {name}=")


def _find_number(line: str, name: str) -> int:
    match = re.search(rf"\b{name}=(\d+)", line)
    if match is None:
        raise RuntimeError(f"expected {name}=<digits> in the output line {line!r}")
    return int(match.group(1))
