"""Starts the processes of a benchmark on loopback ports and ends them."""

import json
import os
import re
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import IO, Any

LOOPBACK = {"ip": "127.0.0.1", "port": 0}
UTIME_FIELD = 13
STIME_FIELD = 14
STOP_TIMEOUT_S = 10


class ProcessGroup:
    """The processes of one run; use as a context manager."""

    def __init__(self) -> None:
        self._processes: list[subprocess.Popen[str]] = []

    def __enter__(self) -> "ProcessGroup":
        """Return the group."""
        return self

    def __exit__(self, *_: object) -> None:
        """Ask every process to stop, the last one first, and wait for it."""
        for process in reversed(self._processes):
            process.terminate()
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def start_standin(self, *arguments: str) -> str:
        """Start a stand-in and return its base URL."""
        process = self._start("figshunt.standins", arguments, subprocess.PIPE, None)
        assert process.stdout is not None
        return f"http://127.0.0.1:{_read_number(process.stdout, 'port')}"

    def start_daemon(
        self, settings: Mapping[str, Any], folder: Path
    ) -> tuple[str, str, int]:
        """Start a daemon; return caller URL, admin URL and process id."""
        path = folder / f"{settings['host']}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = self._start("figshunt", ("serve", str(path)), None, subprocess.PIPE)
        assert process.stderr is not None
        line = _read_line(process.stderr, "caller_port")
        caller, admin = (_find_number(line, f"{one}_port") for one in _LISTENERS)
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


_LISTENERS = ("caller", "admin")


def read_cpu_ms(process_id: int) -> float:
    """Return the processor time that a process has used, in milliseconds."""
    text = Path(f"/proc/{process_id}/stat").read_text(encoding="ascii")
    fields = text.rsplit(")", 1)[1].split()
    # The split starts behind the second field, so field N is at N - 2; the
    # constants count from 0 as in proc(5) less one.
    ticks = int(fields[UTIME_FIELD - 2]) + int(fields[STIME_FIELD - 2])
    return ticks * 1000 / os.sysconf("SC_CLK_TCK")


def _read_number(stream: IO[str], name: str) -> int:
    return _find_number(_read_line(stream, name), name)


def _read_line(stream: IO[str], name: str) -> str:
    for line in stream:
        if f"{name}=" in line:
            return line
    raise RuntimeError(f"process ended before it printed {name}=")


def _find_number(line: str, name: str) -> int:
    match = re.search(rf"\b{name}=(\d+)", line)
    if match is None:
        raise RuntimeError(f"no {name}= in {line!r}")
    return int(match.group(1))
