"""The daemon: passes messages to the core and executes the resulting effects."""

import asyncio
import random
from typing import Any

from mode import Service

from figshunt.core import Core
from figshunt.pipeline import FilterError
from figshunt.runtime import EventLog, Metrics, UnexpectedErrorLog, WakeTimer
from figshunt.services._admin_listener import AdminListener
from figshunt.services._caller_listener import CallerListener
from figshunt.services._core_view import CoreView
from figshunt.services._host_list_watcher import HostListWatcher
from figshunt.services._load_watcher import LoadWatcher
from figshunt.services._peer_handshake import PeerIdentity
from figshunt.services._peer_links import PeerLinks
from figshunt.services._runner_client import RunnerClient
from figshunt.services._table_decoder import TableDecoder, TransferDecoder
from figshunt.services._table_watcher import TableWatcher
from figshunt.settings import CheckedSettings, DaemonSettings
from figshunt.types import (
    AuditEntry,
    CancelAttempt,
    Clock,
    CountEvent,
    Effect,
    EndAnswer,
    FailAnswer,
    IncarnationNumber,
    LogEvent,
    Message,
    ObserveDuration,
    RecordAudit,
    SendAnswer,
    SendPeer,
    SetReady,
    StartAnswer,
    StartAttempt,
    Step,
    StopRequested,
    TimerDue,
    WakeAt,
    WatchRunners,
    WatchTables,
)

# Added to the longest deadline: a request ends by its deadline, but writing the
# answer to a slow caller can take up to the write timeout of 30 s longer.
DRAIN_MARGIN_MS = 40_000


class Daemon(Service):
    """Runs one :class:`figshunt.core.Core` and all services of an entry host."""

    def __init__(
        self, settings: DaemonSettings, clock: Clock, random_source: random.Random
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._log = EventLog({"host": settings.host})
        self._error_log = UnexpectedErrorLog(self._log, clock)
        self.core = Core(settings.host, settings.seat, settings.seats, random_source)
        self._metrics = Metrics()
        self.caller_listener = CallerListener(
            settings.caller_address,
            settings.limits,
            settings.caller_tls,
            self,
            clock,
            self._log,
            self._metrics.count,
        )
        self.admin_listener = AdminListener(
            settings.admin_address, CoreView(self.core, clock), self._metrics
        )
        decoder = TableDecoder()
        self.peer_links = PeerLinks(
            settings,
            PeerIdentity(
                settings.seat, settings.host, IncarnationNumber(clock.now().wall_ms)
            ),
            TransferDecoder(self, decoder),
            clock,
            self._log,
            random_source,
        )
        self._runner_client = RunnerClient(self, clock)
        self._load_watcher = LoadWatcher(self, random_source)
        self._table_watcher = TableWatcher(
            settings.configuration_url, self, decoder, random_source
        )
        self._host_list_watcher = HostListWatcher(
            settings.host_list_url, self, clock, self._log, random_source
        )
        self._timer = WakeTimer(clock, lambda: self.submit(TimerDue()))

    def on_init_dependencies(self) -> list[Service]:
        """Return the services in start order."""
        return [
            self._runner_client,
            self._load_watcher,
            self.admin_listener,
            self.caller_listener,
            self.peer_links,
            self._table_watcher,
            self._host_list_watcher,
        ]

    async def on_started(self) -> None:
        """Log the bound ports and start the core's timer."""
        self._log.write(
            "daemon_started",
            caller_port=self.caller_listener.port,
            admin_port=self.admin_listener.port,
            peer_port=self.peer_links.port,
        )
        self.submit(TimerDue())

    async def on_stop(self) -> None:
        """Cancel the timer."""
        self._timer.stop()

    async def drain(self) -> None:
        """Finish all requests before a shutdown, without refusing any.

        New connections are accepted during the grace period, because load
        balancers and callers react to the shutdown with a delay. After it, only
        open connections are served, until each has ended between two requests.
        """
        self.submit(StopRequested())
        self._log.write("drain_started", grace_ms=self._settings.drain_grace_ms)
        self.caller_listener.start_drain()
        await asyncio.sleep(self._settings.drain_grace_ms / 1000)
        await self.caller_listener.stop_accepting()
        limit_ms = self._max_request_ms() + DRAIN_MARGIN_MS
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self.caller_listener.wait_closed()
        except TimeoutError:
            self._log.write(
                "drain_incomplete",
                "error",
                requests=self.caller_listener.requests_in_progress,
                connections=self.caller_listener.open_connections,
                limit_ms=limit_ms,
            )
        self._log.write(
            "drain_finished", discarded=self.caller_listener.discarded_requests
        )

    def _max_request_ms(self) -> int:
        tables = self.core.revisions.current()
        routes = tables.routes_by_name.values() if tables else ()
        deadline_ms = max((route.deadline_ms for route in routes), default=0)
        return self._settings.limits.body_timeout_ms + deadline_ms

    def check_settings(self, checked: CheckedSettings) -> None:
        """Log whether changed settings are valid and take effect with a restart."""
        if checked.settings is None:
            faults = "; ".join(str(fault) for fault in checked.faults)
            self._log.write("settings_invalid", "error", detail=faults)
            return
        self._log.write(
            "settings_reloaded", restart_needed=checked.settings != self._settings
        )

    def submit(self, message: Message) -> None:
        """Process one message synchronously and execute its effects.

        After an unexpected error the effects include the answers to the callers whose
        requests it leaves without an owner.
        """
        try:
            effects = self.core.handle(message, self._clock.now())
        except FilterError as error:
            effects = error.effects
            self._error_log.write(error, Step.DAEMON, message=type(message).__name__)
        self._execute_all(effects)

    def _execute_all(self, effects: list[Effect]) -> None:
        """Carry out all effects, even if some of them fail."""
        for effect in effects:
            try:
                self._execute(effect)
            except Exception as error:
                self._error_log.write(error, Step.DAEMON, effect=type(effect).__name__)
                self._execute_all(
                    self.core.handle_lost_effect(effect, self._clock.now())
                )

    def _execute(self, effect: Effect) -> None:
        match effect:
            case SendAnswer() | StartAnswer() | EndAnswer() | FailAnswer():
                self.caller_listener.deliver(effect)
            case StartAttempt():
                self._runner_client.start_attempt(effect)
            case CancelAttempt():
                self._runner_client.cancel_attempt(effect)
            case SendPeer():
                self.peer_links.send(effect)
            case WakeAt(monotonic_ms):
                self._timer.wake_at(monotonic_ms)
            case CountEvent():
                self._metrics.count(effect)
            case ObserveDuration():
                self._metrics.observe(effect)
            case LogEvent(event, step, fields):
                log_fields: dict[str, Any] = dict(fields)
                self._log.write(event, step=step.value, **log_fields)
            case WatchRunners(urls_by_runner):
                self._load_watcher.set_runners(urls_by_runner)
            case WatchTables(enabled, restart):
                self._table_watcher.set_enabled(enabled, restart)
            case SetReady(is_ready):
                self.admin_listener.is_ready = is_ready
            case RecordAudit(entry):
                self._log_audit_entry(entry)

    def _log_audit_entry(self, entry: AuditEntry) -> None:
        self._log.write(
            "tables_refused" if entry.refusals else "tables_in_force",
            "warning" if entry.refusals else "info",
            step=Step.REVISION.value,
            peer=entry.peer,
            source=entry.source.value,
            revision=entry.revision,
            seen_ms=entry.seen_ms,
            in_force_ms=entry.in_force_ms,
            changes="; ".join(entry.changes),
            refusals="; ".join(entry.refusals),
        )
