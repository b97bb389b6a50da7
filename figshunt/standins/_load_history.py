"""Load reports that lag behind the load."""

from collections import deque
from dataclasses import asdict, dataclass
from typing import Any

from figshunt.standins._runner_state import LoadSnapshot
from figshunt.types import Clock


@dataclass(frozen=True, slots=True)
class ReportProfile:
    """How often a runner reports and how old the figures are.

    With ``honest_age`` the report tells the age of its figures, otherwise it
    claims that they are fresh.
    """

    interval_ms: int = 250
    lag_ms: int = 0
    honest_age: bool = True


class LoadHistory:
    """Keeps recent snapshots and gives out the one that the lag calls for."""

    def __init__(self, profile: ReportProfile, clock: Clock) -> None:
        self._profile = profile
        self._clock = clock
        most = profile.lag_ms // profile.interval_ms + 2
        self._snapshots: deque[tuple[int, LoadSnapshot]] = deque(maxlen=most)

    def record(self, snapshot: LoadSnapshot) -> None:
        """Add the load as it is now; a new start forgets the life before it."""
        if self._snapshots and self._snapshots[-1][1].start != snapshot.start:
            self._snapshots.clear()
        self._snapshots.append((self._clock.now().monotonic_ms, snapshot))

    def report(self) -> dict[str, Any]:
        """Return the newest report that is at least ``lag_ms`` old.

        Right after a start there is none so old; then it is the oldest.
        """
        now_ms = self._clock.now().monotonic_ms
        taken_ms, snapshot = self._snapshots[0]
        for candidate_ms, candidate in self._snapshots:
            if now_ms - candidate_ms >= self._profile.lag_ms:
                taken_ms, snapshot = candidate_ms, candidate
        age_ms = now_ms - taken_ms if self._profile.honest_age else 0
        return {**asdict(snapshot), "age_ms": age_ms}
