"""Processes of runners that have said that they are leaving."""

from figshunt.directory._model import PublishedRunner
from figshunt.types import RunnerId

# A write may be carried out this long after a runner sent it, even after its entry was
# removed, and a watch may be cut without an error and last this long.
MAX_WRITE_DELAY_MS = 6_000
MAX_WATCH_MS = 10_000
KEPT_LEAVING_MS = MAX_WRITE_DELAY_MS + MAX_WATCH_MS


class LeavingProcesses:
    """Remembers which process of a runner is leaving, by the time of its start.

    A process doesn't return from leaving, so that an entry of it is a write that was
    carried out late. It is remembered until its runner has another process, and for
    ``KEPT_LEAVING_MS`` after its entry was removed. One without a start can't be told
    from another one, and is forgotten with its entry.
    """

    def __init__(self) -> None:
        self._starts_by_id: dict[RunnerId, int | None] = {}
        self._kept_until_ms_by_id: dict[RunnerId, int] = {}

    def __contains__(self, runner_id: RunnerId) -> bool:
        return runner_id in self._starts_by_id

    def __len__(self) -> int:
        return len(self._starts_by_id)

    def record(self, runner_id: RunnerId, started_wall_ms: int | None) -> bool:
        """Record what a process has said, and return whether that is news."""
        known_start = self._starts_by_id.get(runner_id)
        if runner_id in self._starts_by_id and known_start == started_wall_ms:
            return False
        self._starts_by_id[runner_id] = started_wall_ms
        return True

    def record_entry(self, runner: PublishedRunner) -> None:
        """Record what an entry says, which may be of another process."""
        runner_id, start = runner.runner_id, runner.started_wall_ms
        if self._starts_by_id.get(runner_id, start) != start:
            del self._starts_by_id[runner_id]
        if runner.is_leaving and start is not None:
            self._starts_by_id[runner_id] = start
        self._kept_until_ms_by_id.pop(runner_id, None)

    def record_removal(self, runner_id: RunnerId, now_ms: int) -> int | None:
        """Record that a runner has no entry; return until when its process is kept."""
        if self._starts_by_id.get(runner_id) is None:
            self._forget(runner_id)
            return None
        until_ms = now_ms + KEPT_LEAVING_MS
        self._kept_until_ms_by_id[runner_id] = until_ms
        return until_ms

    def expire(self, now_ms: int) -> None:
        """Forget the processes whose entries were removed long ago."""
        for runner_id, until_ms in tuple(self._kept_until_ms_by_id.items()):
            if until_ms <= now_ms:
                self._forget(runner_id)

    def _forget(self, runner_id: RunnerId) -> None:
        self._starts_by_id.pop(runner_id, None)
        self._kept_until_ms_by_id.pop(runner_id, None)
