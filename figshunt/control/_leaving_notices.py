"""Tracks which runners are reported as leaving, and by whom."""

from collections.abc import Iterable

from figshunt.types import RunnerId, SeatNumber

LEAVING_NOTICE_TTL_MS = 10_000


class LeavingNotices:
    """Stores the leaving runners of the host list and the notices of peers.

    Notices of peers expire; otherwise a peer that stops before it withdraws
    its notice would keep the runner out of use forever.
    """

    def __init__(self) -> None:
        self._listed_runner_ids: frozenset[RunnerId] = frozenset()
        self._expiry_ms_by_runner: dict[RunnerId, dict[SeatNumber, int]] = {}

    @property
    def listed_runner_ids(self) -> frozenset[RunnerId]:
        """Return the runners that the host list marks as leaving."""
        return self._listed_runner_ids

    def set_listed_runner_ids(self, runner_ids: Iterable[RunnerId]) -> None:
        """Replace the set of runners that the host list marks as leaving."""
        self._listed_runner_ids = frozenset(runner_ids)

    def set_peer_notice(
        self, runner_id: RunnerId, seat: SeatNumber, expiry_ms: int | None
    ) -> None:
        """Set the notice of one peer, or withdraw it if ``expiry_ms`` is ``None``."""
        expiry_ms_by_seat = self._expiry_ms_by_runner.setdefault(runner_id, {})
        if expiry_ms is not None:
            expiry_ms_by_seat[seat] = expiry_ms
        else:
            expiry_ms_by_seat.pop(seat, None)
        if not expiry_ms_by_seat:
            del self._expiry_ms_by_runner[runner_id]

    def expire(self, now_ms: int) -> list[RunnerId]:
        """Remove expired notices and return the runners that they referred to."""
        expired_runner_ids = []
        for runner_id, expiry_ms_by_seat in tuple(self._expiry_ms_by_runner.items()):
            for seat, expiry_ms in tuple(expiry_ms_by_seat.items()):
                if expiry_ms <= now_ms:
                    self.set_peer_notice(runner_id, seat, None)
                    expired_runner_ids.append(runner_id)
        return expired_runner_ids

    def is_leaving(self, runner_id: RunnerId) -> bool:
        """Return whether the host list or a peer marks the runner as leaving."""
        return (
            runner_id in self._listed_runner_ids
            or runner_id in self._expiry_ms_by_runner
        )
