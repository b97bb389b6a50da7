"""Administration data of a core."""

from collections.abc import Mapping, Sequence
from dataclasses import asdict
from typing import Any

from figshunt.control import RevisionStatus
from figshunt.core import Core
from figshunt.report import FleetReport, build_report
from figshunt.types import AuditEntry, Clock


class CoreView:
    """Implements ``AdminSource`` with the read-only views of a core."""

    def __init__(self, core: Core, clock: Clock) -> None:
        self._core = core
        self._clock = clock

    def report(self) -> FleetReport:
        """Return the report for the current time."""
        core = self._core
        now = self._clock.now()
        return build_report(
            core.outcomes,
            core.revisions,
            core.runners,
            core.membership,
            now,
            core.revisions.status(now).last_read_age_ms,
            core.establishment.is_granting_keys(now),
        )

    def status(self) -> Mapping[str, Any]:
        """Return the daemon's state as JSON-serializable values."""
        core = self._core
        now = self._clock.now()
        tables = core.revisions.current()
        return {
            "seat": core.membership.own_seat,
            "revision": tables.revision if tables else None,
            "tables": _encode_revision_status(core.revisions.status(now)),
            "generation": tables.generation if tables else None,
            "claims": core.establishment.state.value,
            "seats_heard": [
                seat
                for seat in core.membership.seats
                if core.membership.is_reachable(seat, now)
            ],
            "hears_majority": core.membership.has_quorum(now),
            "runners": {
                runner_id: {
                    "phase": core.runners.phase(runner_id, now).value,
                    "limit": core.runners.limit(runner_id, now),
                }
                for runner_id in (tables.runners_by_id if tables else ())
            },
        }

    def audit(self) -> Sequence[Mapping[str, Any]]:
        """Return the audit trail, oldest entry first."""
        status = self._core.revisions.status(self._clock.now())
        return [_encode_audit_entry(entry) for entry in status.audit]


def _encode_audit_entry(entry: AuditEntry) -> Mapping[str, Any]:
    return asdict(entry) | {"source": entry.source.value}


def _encode_revision_status(status: RevisionStatus) -> Mapping[str, Any]:
    in_force = status.in_force
    return {
        "digest": status.digest,
        "source": in_force.source.value if in_force else None,
        "source_peer": in_force.peer if in_force else None,
        "in_force_ms": in_force.in_force_ms if in_force else None,
        "last_read_age_ms": status.last_read_age_ms,
        "is_alone": status.is_isolated,
        "is_settled": status.is_synchronized,
        "highest_peer_revision": status.highest_peer_revision,
    }
