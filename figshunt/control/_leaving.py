"""Who says that a runner is leaving."""

from collections.abc import Iterable

from figshunt.types import RunnerId, SeatNumber

LEAVING_HOLDS_MS = 10_000


class LeavingNotices:
    """Holds what the host list and peers say; the latter for a bounded time.

    A peer that vanished before it withdrew its notice would otherwise keep
    the runner out of use for ever.
    """

    def __init__(self) -> None:
        self._listed: frozenset[RunnerId] = frozenset()
        self._until_ms_by_runner: dict[RunnerId, dict[SeatNumber, int]] = {}

    @property
    def listed(self) -> frozenset[RunnerId]:
        """Return the runners that the host list shows as leaving."""
        return self._listed

    def set_listed(self, runner_ids: Iterable[RunnerId]) -> None:
        """Replace what the host list says."""
        self._listed = frozenset(runner_ids)

    def set_noticed(
        self, runner_id: RunnerId, seat: SeatNumber, until_ms: int | None
    ) -> None:
        """Set or withdraw the notice of one peer."""
        until_ms_by_seat = self._until_ms_by_runner.setdefault(runner_id, {})
        if until_ms is not None:
            until_ms_by_seat[seat] = until_ms
        else:
            until_ms_by_seat.pop(seat, None)
        if not until_ms_by_seat:
            del self._until_ms_by_runner[runner_id]

    def expire(self, now_ms: int) -> None:
        """Drop notices that no peer has repeated in time."""
        for runner_id, until_ms_by_seat in tuple(self._until_ms_by_runner.items()):
            for seat, until_ms in tuple(until_ms_by_seat.items()):
                if until_ms <= now_ms:
                    self.set_noticed(runner_id, seat, None)

    def is_leaving(self, runner_id: RunnerId) -> bool:
        """Return whether the host list or a peer says that it is leaving."""
        return runner_id in self._listed or runner_id in self._until_ms_by_runner
