"""What the administration listener shows of a core."""

from collections.abc import Mapping, Sequence
from typing import Any

from figshunt.core import Core
from figshunt.report import FleetReport, build_report
from figshunt.types import Clock


class CoreView:
    """Reads the core's views; meets ``AdminSource``."""

    def __init__(self, core: Core, clock: Clock) -> None:
        self._core = core
        self._clock = clock

    def report(self) -> FleetReport:
        """Return the report as of now."""
        core = self._core
        return build_report(
            core.outcomes,
            core.revisions,
            core.runners,
            core.membership,
            self._clock.now(),
        )

    def status(self) -> Mapping[str, Any]:
        """Return the daemon's state as plain values."""
        core = self._core
        now = self._clock.now()
        tables = core.revisions.current()
        return {
            "seat": core.membership.own_seat,
            "revision": tables.revision if tables else None,
            "generation": tables.generation if tables else None,
            "seats_heard": [
                seat
                for seat in core.membership.seats
                if core.membership.is_heard(seat, now)
            ],
            "hears_majority": core.membership.hears_majority(now),
            "runners": {
                runner_id: {
                    "phase": core.runners.phase(runner_id, now).value,
                    "limit": core.runners.limit(runner_id, now),
                }
                for runner_id in (tables.runners_by_id if tables else ())
            },
        }

    def audit(self) -> Sequence[Mapping[str, Any]]:
        """Return the audit trail, the newest entry last."""
        return ()
