"""Recognizes entries that may have lapsed while no host could read the store."""

from figshunt.types import Clock

# An entry that is removed within the lapse window after an outage of at least this
# length may have expired because its runner couldn't renew it.
MIN_OUTAGE_MS = 1_500
LAPSE_WINDOW_MS = 2_500


class OutageRecord:
    """The time for which neither this host nor a peer that it reads read the store.

    While any of them can read it, runners can also renew their entries.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._failing_since_ms: int | None = None
        self._lapse_window_end_ms = 0

    def record_failure(self, started_ms: int, can_peer_read: bool) -> None:
        """Record a failed read.

        :param started_ms: start of the read, in ms of the monotonic clock.
        :param can_peer_read: whether a peer can read the store now.
        """
        if can_peer_read:
            self._failing_since_ms = self._clock.now().monotonic_ms
        elif self._failing_since_ms is None:
            self._failing_since_ms = started_ms

    def record_success(self) -> bool:
        """Record a read; return whether entries may have lapsed in an outage."""
        now_ms = self._clock.now().monotonic_ms
        failing_since_ms, self._failing_since_ms = self._failing_since_ms, None
        if failing_since_ms is not None and now_ms - failing_since_ms > MIN_OUTAGE_MS:
            self._lapse_window_end_ms = now_ms + LAPSE_WINDOW_MS
        return now_ms < self._lapse_window_end_ms
