"""Owns the published configuration and runner list in force on this host."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from figshunt.directory._held_items import HeldItems, HoldableMessage
from figshunt.directory._leaving_processes import LeavingProcesses
from figshunt.directory._messages import (
    ConfigurationPublished,
    ConfigurationUnreadable,
    EvacuationPublished,
    RunnerLeaving,
    RunnerListed,
    RunnerUnlisted,
    SourceStateChanged,
    StoreRestored,
)
from figshunt.directory._model import (
    Configuration,
    PublishedPool,
    PublishedRoute,
    PublishedRunner,
)
from figshunt.pipeline import Output
from figshunt.types import (
    CountEvent,
    DataCentreName,
    LogEvent,
    LogValue,
    Message,
    Moment,
    PoolName,
    RunnerId,
    Step,
    TimerDue,
    Version,
    WakeAt,
)

# Runners whose entries expired during an outage of the store register again
# within about 2 s of its return. A runner that has stopped must not receive
# requests later than 2 s after its entry was removed, so the grace period is
# slightly shorter.
RELIST_GRACE_MS = 1_800

# Runners whose entries a restored store lacks write them again within about 2 s. In
# large fleets a host reads them up to 0.5 s later.
RESTORE_GRACE_MS = 3_000

# A runner that is gone lets its entry in a restored store expire after three heartbeat
# intervals, 1.2 s each.
REMOVED_ENTRY_HOLD_MS = 5_000

# Entries that runners can't renew in a restored store, because it doesn't know their
# leases, expire within this time. They count as lapsed, as after an outage.
RESTORE_WINDOW_MS = 2_500


class DirectoryView(Protocol):
    """Read access to the published configuration and runners."""

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, or ``None`` before the first read."""

    @property
    def is_current(self) -> bool:
        """Return whether published items can currently be read."""

    def match(self, host: str, path: str) -> PublishedRoute | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``."""

    def pool(self, name: PoolName) -> PublishedPool | None:
        """Return a pool of the configuration in force, or ``None``."""

    def runners(self, pool: PoolName) -> Mapping[RunnerId, PublishedRunner]:
        """Return the runners of a pool that may receive new requests."""


class DirectoryFilter:
    """Applies published items; an older configuration never replaces a newer one.

    A runner that is leaving or in an evacuated data centre is kept, so that its
    requests can finish, but is not returned for new requests. A process that has said
    that it is leaving, in an answer or in its entry, doesn't return.

    After a restore, what is in force stays so until it is written again, for a limited
    time: an item that may come from the copy is held for ``RESTORE_GRACE_MS``, or for
    ``REMOVED_ENTRY_HOLD_MS`` if it is the entry of a runner that was removed before. A
    configuration is ordered by its own version, and an entry that is certainly newer
    by its process. A runner whose entry the copy lacks has a grace period.
    """

    step = Step.DIRECTORY
    accepts: tuple[type[Message], ...] = (
        ConfigurationPublished,
        ConfigurationUnreadable,
        EvacuationPublished,
        RunnerLeaving,
        RunnerListed,
        RunnerUnlisted,
        SourceStateChanged,
        StoreRestored,
        TimerDue,
    )

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.is_current = False
        self._routes_by_host: dict[str, list[PublishedRoute]] = {}
        self._runners_by_id: dict[RunnerId, PublishedRunner] = {}
        self._usable_runners_by_pool: dict[
            PoolName, dict[RunnerId, PublishedRunner]
        ] = {}
        self._evacuated_data_centres: set[DataCentreName] = set()
        self._removal_due_ms_by_id: dict[RunnerId, int] = {}
        self._leaving = LeavingProcesses()
        self._held_items = HeldItems()
        self._restore_window_end_ms = 0

    def match(self, host: str, path: str) -> PublishedRoute | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def pool(self, name: PoolName) -> PublishedPool | None:
        """Return a pool of the configuration in force, or ``None``."""
        if self.configuration is None:
            return None
        return self.configuration.pools_by_name.get(name)

    def runners(self, pool: PoolName) -> Mapping[RunnerId, PublishedRunner]:
        """Return the runners of a pool that may receive new requests."""
        return self._usable_runners_by_pool.get(pool, {})

    def process(self, message: Message, now: Moment) -> Iterable[Output]:
        """Handle one message."""
        match message:
            case ConfigurationPublished():
                yield from self._apply_configuration(message)
            case ConfigurationUnreadable(version, detail):
                yield LogEvent(
                    "configuration_unreadable",
                    self.step,
                    _version_fields(version) | {"detail": detail},
                )
            case EvacuationPublished() | RunnerListed() if self._may_be_older(message):
                yield from self._hold_item(message, now)
                return
            case EvacuationPublished(version, data_centre, is_evacuated):
                self._held_items.discard(message)
                (
                    self._evacuated_data_centres.add
                    if is_evacuated
                    else self._evacuated_data_centres.discard
                )(data_centre)
                yield LogEvent(
                    "data_centre_out" if is_evacuated else "data_centre_in",
                    self.step,
                    _version_fields(version) | {"data_centre": data_centre},
                )
            case RunnerLeaving():
                yield from self._record_leaving(message, now)
            case RunnerListed():
                self._held_items.discard(message)
                yield from self._list_runner(message)
            case RunnerUnlisted(_, runner_id, after_outage, may_be_copied):
                self._held_items.discard(message)
                has_lapsed = (
                    after_outage
                    or may_be_copied
                    or (
                        self._is_in_restore_window(now)
                        and runner_id not in self._leaving
                    )
                )
                message = replace(message, after_outage=has_lapsed)
                yield from self._unlist_runner(message, now)
            case StoreRestored(version):
                yield from self._record_restore(version, now)
            case SourceStateChanged(is_current, detail):
                self.is_current = is_current
                yield LogEvent(
                    "directory_source",
                    self.step,
                    {"is_current": is_current, "detail": detail},
                )
            case TimerDue():
                yield from self._remove_expired(now)
                for due_message in self._held_items.take_due(now.monotonic_ms):
                    yield from self.process(due_message, now)
                yield message
                return
        self._rebuild_usable_runners()
        yield message

    def _apply_configuration(self, message: ConfigurationPublished) -> Iterable[Output]:
        previous = self.configuration
        candidate = message.configuration
        fields = _version_fields(message.store_version)
        fields["version"] = candidate.version
        if previous is not None and (
            candidate.version < previous.version
            or (message.may_be_copied and candidate.version == previous.version)
        ):
            fields["in_force"] = previous.version
            yield LogEvent("configuration_older", self.step, fields)
            return
        self.configuration = candidate
        self._routes_by_host = {}
        for route in sorted(
            candidate.routes, key=lambda route: -len(route.path_prefix)
        ):
            self._routes_by_host.setdefault(route.host, []).append(route)
        fields["routes"] = len(candidate.routes)
        fields["keys"] = len(candidate.teams_by_key_sha256)
        yield LogEvent("configuration_in_force", self.step, fields)

    def _record_restore(self, version: Version, now: Moment) -> Iterable[Output]:
        """Begin a new era of the store."""
        self._restore_window_end_ms = now.monotonic_ms + RESTORE_WINDOW_MS
        if self._removal_due_ms_by_id:
            # A listing that lacks these entries as well isn't another change of them.
            due_ms = now.monotonic_ms + RESTORE_GRACE_MS
            self._removal_due_ms_by_id = dict.fromkeys(
                self._removal_due_ms_by_id, due_ms
            )
            yield WakeAt(due_ms)
        yield from map(WakeAt, self._held_items.restart(now.monotonic_ms))
        yield LogEvent("store_restored", self.step, _version_fields(version))
        yield CountEvent("store_restores", {})

    def _may_be_older(self, message: HoldableMessage) -> bool:
        """Return whether an item may be older than what is in force.

        An entry of a later process is newer, and so is one that says that the process
        is leaving, as that isn't withdrawn.
        """
        if not message.may_be_copied:
            return False
        if isinstance(message, EvacuationPublished):
            return True
        previous, runner = self._runners_by_id.get(message.runner_id), message.runner
        if previous is None or runner is None:
            return True
        start, previous_start = runner.started_wall_ms, previous.started_wall_ms
        if start is None or previous_start is None:
            return True
        return start < previous_start or (
            start == previous_start and not runner.is_leaving
        )

    def _hold_item(self, message: HoldableMessage, now: Moment) -> Iterable[Output]:
        """Keep what is in force, and hold an item that differs from it."""
        self._held_items.discard(message)
        hold_ms = RESTORE_GRACE_MS
        fields = _version_fields(message.store_version)
        match message:
            case EvacuationPublished(_, data_centre, is_evacuated):
                fields["data_centre"] = data_centre
                is_in_force = is_evacuated == (
                    data_centre in self._evacuated_data_centres
                )
            case RunnerListed(_, runner_id, runner):
                fields["runner"] = runner_id
                is_in_force = (
                    runner == self._runners_by_id.get(runner_id)
                    and runner_id not in self._removal_due_ms_by_id
                )
                if runner_id not in self._runners_by_id:
                    hold_ms = REMOVED_ENTRY_HOLD_MS
        if is_in_force:
            return
        yield WakeAt(self._held_items.hold(message, hold_ms, now.monotonic_ms))
        yield LogEvent("copied_item_held", self.step, fields)

    def _list_runner(self, message: RunnerListed) -> Iterable[Output]:
        runner_id, runner = message.runner_id, message.runner
        version_fields = _version_fields(message.store_version)
        self._removal_due_ms_by_id.pop(runner_id, None)
        if runner is None:
            self._runners_by_id.pop(runner_id, None)
            yield LogEvent(
                "runner_entry_unreadable",
                self.step,
                version_fields | {"runner": runner_id},
            )
            return
        previous = self._runners_by_id.get(runner_id)
        self._runners_by_id[runner_id] = runner
        self._leaving.record_entry(runner)
        if previous is None or previous != runner:
            fields = version_fields | {
                "runner": runner_id,
                "pool": runner.pool,
                "address": runner.address,
                "leaving": runner.is_leaving,
                "cold_left_ms": runner.cold_left_ms,
                "started_wall_ms": runner.started_wall_ms,
            }
            yield LogEvent("runner_listed", self.step, fields)

    def _record_leaving(self, message: RunnerLeaving, now: Moment) -> Iterable[Output]:
        """Record what a process said in an answer, even if its entry was removed."""
        runner_id, start = message.runner_id, message.started_wall_ms
        runner = self._runners_by_id.get(runner_id)
        if runner is not None and runner.started_wall_ms != start:
            return
        if not self._leaving.record(runner_id, start):
            return
        if runner is None:
            yield from self._record_removal(runner_id, now)
        yield LogEvent("runner_announced_leaving", self.step, {"runner": runner_id})

    def _is_in_restore_window(self, now: Moment) -> bool:
        return now.monotonic_ms < self._restore_window_end_ms

    def _remove_runner(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        """Remove a runner; its process may still write its entry again."""
        self._runners_by_id.pop(runner_id, None)
        self._removal_due_ms_by_id.pop(runner_id, None)
        yield from self._record_removal(runner_id, now)

    def _record_removal(self, runner_id: RunnerId, now: Moment) -> Iterable[Output]:
        until_ms = self._leaving.record_removal(runner_id, now.monotonic_ms)
        if until_ms is not None:
            yield WakeAt(until_ms)

    def _unlist_runner(self, message: RunnerUnlisted, now: Moment) -> Iterable[Output]:
        if message.runner_id not in self._runners_by_id:
            yield from self._remove_runner(message.runner_id, now)
            return
        fields = _version_fields(message.store_version)
        fields["runner"] = message.runner_id
        if message.after_outage:
            grace_ms = RESTORE_GRACE_MS if message.may_be_copied else RELIST_GRACE_MS
            due_ms = now.monotonic_ms + grace_ms
            self._removal_due_ms_by_id.setdefault(message.runner_id, due_ms)
            yield LogEvent("runner_lapsed", self.step, fields)
            yield WakeAt(due_ms)
            return
        yield from self._remove_runner(message.runner_id, now)
        yield LogEvent("runner_unlisted", self.step, fields)

    def _remove_expired(self, now: Moment) -> Iterable[Output]:
        expired_ids = [
            runner_id
            for runner_id, due_ms in self._removal_due_ms_by_id.items()
            if due_ms <= now.monotonic_ms
        ]
        for runner_id in expired_ids:
            yield from self._remove_runner(runner_id, now)
            yield LogEvent("runner_gone", self.step, {"runner": runner_id})
        if expired_ids:
            self._rebuild_usable_runners()
        self._leaving.expire(now.monotonic_ms)

    def _rebuild_usable_runners(self) -> None:
        usable_runners_by_pool: dict[PoolName, dict[RunnerId, PublishedRunner]] = {}
        for runner_id, runner in self._runners_by_id.items():
            if (
                not runner.is_leaving
                and runner_id not in self._leaving
                and runner.data_centre not in self._evacuated_data_centres
            ):
                usable_runners_by_pool.setdefault(runner.pool, {})[runner_id] = runner
        self._usable_runners_by_pool = usable_runners_by_pool


def _version_fields(version: Version) -> dict[str, LogValue]:
    return {"era": version.era, "revision": version.revision}
