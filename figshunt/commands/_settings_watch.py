"""Notices changes of a settings file that no signal announces."""

import asyncio
from collections.abc import Callable
from pathlib import Path

CHECK_INTERVAL_S = 1.0


class SettingsWatch:
    """Calls a function whenever the file has been written or replaced."""

    def __init__(self, path: Path, on_change: Callable[[], None]) -> None:
        self._path = path
        self._on_change = on_change
        self._state = self._read_state()

    async def run(self) -> None:
        """Check the file once per ``CHECK_INTERVAL_S`` until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Call the function if the file differs from what it was."""
        if self._read_state() not in (None, self._state):
            self.reload()

    def reload(self) -> None:
        """Call the function, as a signal says that the file has changed."""
        self._state = self._read_state()
        self._on_change()

    def _read_state(self) -> tuple[int, int, int] | None:
        """Return what changes with each write, or ``None`` if there is no file."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
