"""Load reports that lag behind the actual load."""

from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from figshunt.standins._runner_state import LoadSnapshot
from figshunt.types import Clock


@dataclass(frozen=True, slots=True)
class ReportProfile:
    """The interval of a runner's load reports and the age of their figures.

    With ``reports_actual_age`` a report contains the age of its figures,
    otherwise an age of 0.
    """

    interval_ms: int = 250
    lag_ms: int = 0
    reports_actual_age: bool = True


class LoadHistory:
    """Keeps recent snapshots and reports the one that is old enough for the lag."""

    def __init__(self, profile: ReportProfile, clock: Clock) -> None:
        self._profile = profile
        self._clock = clock
        max_snapshots = profile.lag_ms // profile.interval_ms + 2
        self._snapshots: deque[tuple[int, LoadSnapshot]] = deque(maxlen=max_snapshots)

    def record(self, snapshot: LoadSnapshot) -> None:
        """Add the current load, discarding snapshots from before a restart."""
        if self._snapshots and self._snapshots[-1][1].start != snapshot.start:
            self._snapshots.clear()
        self._snapshots.append((self._clock.now().monotonic_ms, snapshot))

    def report(self) -> dict[str, Any]:
        """Return a report of the newest snapshot that is at least ``lag_ms`` old.

        If no snapshot is that old, as after a start, the oldest one is used.
        """
        now_ms = self._clock.now().monotonic_ms
        recorded_ms, snapshot = self._snapshots[0]
        for candidate_ms, candidate in self._snapshots:
            if now_ms - candidate_ms >= self._profile.lag_ms:
                recorded_ms, snapshot = candidate_ms, candidate
        age_ms = now_ms - recorded_ms if self._profile.reports_actual_age else 0
        return {**asdict(snapshot), "age_ms": age_ms}
