"""The daemon of one entry host: passes messages to the core and applies effects."""

import asyncio
import random
from contextlib import suppress
from dataclasses import replace
from typing import Any

from mode import Service

from figshunt.directory import PublishedLimits
from figshunt.dispatch import (
    AnswerAbort,
    AnswerComplete,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    AnswerStart,
    BroadcastStatus,
    CancelCallAttempt,
    DispatchCore,
    GraceEnded,
    HostStatus,
    StartCallAttempt,
)
from figshunt.exchange import StatusExchange
from figshunt.gateway._codecs import CallCodec, ItemCodec
from figshunt.gateway._directory_reader import DirectoryReader, ItemSource
from figshunt.gateway._drain_plan import DrainPlan
from figshunt.gateway._front_listener import FrontListener
from figshunt.gateway._loop_lag import LoopLagMonitor
from figshunt.gateway._memory_bounds import (
    build_receive_budget,
    build_unread_budget,
    compute_caller_memory,
)
from figshunt.gateway._mirror import MirrorListener, MirrorReader
from figshunt.gateway._outage import OutageRecord
from figshunt.gateway._peer_link import PeerLink
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.gateway._runner_caller import RunnerCaller
from figshunt.gateway._settings import GatewaySettings
from figshunt.gateway._single_path_listener import (
    build_metrics_listener,
    build_readiness_listener,
)
from figshunt.pipeline import FilterError
from figshunt.runtime import EventLog, Metrics, UnexpectedErrorLog, WakeTimer
from figshunt.types import (
    Clock,
    CountEvent,
    Effect,
    FigshuntError,
    LogEvent,
    Message,
    ObserveDuration,
    Step,
    TimerDue,
    WakeAt,
)

# The core's filters check their deadlines at least this often.
TIMER_INTERVAL_MS = 200


class GatewayDaemon(Service):
    """Connects the services of one entry host to a :class:`DispatchCore`."""

    def __init__(
        self,
        settings: GatewaySettings,
        call_codec: CallCodec,
        item_codec: ItemCodec,
        source: ItemSource,
        readiness_path: str,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._log = EventLog({"host": settings.host})
        self._error_log = UnexpectedErrorLog(self._log, clock)
        self._incarnation = clock.now().wall_ms
        self._is_draining = False
        self._metrics = Metrics()
        self.core = DispatchCore(
            settings.host,
            settings.data_centre,
            settings.bounds,
            random_source,
            settings.names_other_hosts,
        )
        self.items = PublishedItems(
            item_codec, self, self._log, self._announce_revision
        )
        outage = OutageRecord(clock)
        self.reader = DirectoryReader(
            source,
            self.items,
            outage,
            lambda: 1 + len(self.core.peers.statuses()),
            clock,
            self._log,
            random_source,
        )
        self.mirror_listener = MirrorListener(settings.mirror, self.items, self._log)
        self.mirror_reader = MirrorReader(
            self.items,
            outage,
            settings.mirror.port,
            lambda: tuple(self.core.peers.statuses().values()),
            clock,
            self._log,
            random_source,
        )
        self.front = FrontListener(
            settings.front,
            call_codec,
            self,
            clock,
            self._log,
            self._metrics.count,
            build_unread_budget(settings.memory_bytes),
            compute_caller_memory(settings.memory_bytes),
            self._read_limits,
        )
        self.runners = RunnerCaller(
            call_codec,
            self,
            self._log,
            clock,
            build_receive_budget(settings.memory_bytes),
        )
        self.peers = PeerLink(
            settings.front.ip,
            settings.peer_port,
            StatusExchange(
                settings.host,
                settings.data_centre,
                settings.front.ip,
                settings.seeds,
                settings.link_mbps,
            ),
            self._build_status,
            self,
            clock,
            self._log,
            random_source,
        )
        self.readiness = build_readiness_listener(
            settings.readiness, readiness_path, self.is_ready
        )
        self.metrics = build_metrics_listener(
            settings.metrics, self._metrics.exposition
        )
        self._timer = WakeTimer(clock, self._run_due_timers)
        self._lag_monitor = LoopLagMonitor(clock, self._log)

    def on_init_dependencies(self) -> list[Service]:
        """Return the child services in their start order."""
        return [
            self.runners,
            self.front,
            self.peers,
            self.metrics,
            self.mirror_listener,
            self.mirror_reader,
            self.reader,
            self.readiness,
            self._lag_monitor,
        ]

    def is_ready(self) -> bool:
        """Return whether this host is ready to serve callers."""
        directory = self.core.directory
        return not self._is_draining and directory.configuration is not None

    async def on_started(self) -> None:
        """Log the start and run the core's timers for the first time."""
        self._log.write(
            "daemon_started",
            incarnation=self._incarnation,
            front_port=self.front.port,
            readiness_port=self.readiness.port,
            metrics_port=self.metrics.port,
            data_centre=self._settings.data_centre,
        )
        self._run_due_timers()

    async def on_stop(self) -> None:
        """Cancel the timer and log the stop."""
        self._timer.stop()
        self._log.write("daemon_stopped")

    async def drain(self) -> None:
        """Shut down gracefully within the grace period.

        New connections are accepted until the platform has had time to see that
        this host isn't ready. After that, requests on open connections are answered
        until the period ends. All times count from the start of the drain.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        plan = DrainPlan.for_grace(self._settings.stop_grace_ms)
        self._is_draining = True
        self._log.write("drain_started", grace_ms=self._settings.stop_grace_ms)
        self.submit(plan.start_message(self._clock.now()))
        self.peers.send_now()
        self.front.start_drain()
        await asyncio.sleep(plan.accept_ms / 1000)
        await self.front.stop_accepting()
        try:
            async with asyncio.timeout_at(start_s + plan.answer_ms / 1000):
                await self.front.wait_closed()
        except TimeoutError:
            await self._end_requests(start_s + plan.close_ms / 1000)
        self._log.write(
            "drain_finished",
            "info",
            connections=self.front.open_connections,
            unsent_bytes=self.front.unsent_bytes,
            **self.front.open_requests.count_by_ending(),
            discarded=self.front.discarded_requests,
        )

    async def _end_requests(self, until_s: float) -> None:
        """Answer the open requests, and deliver the answers until a time."""
        self._log.write(
            "drain_incomplete",
            "warning",
            sends=self.core.attempts.in_flight,
            connections=self.front.open_connections,
            unsent_bytes=self.front.unsent_bytes,
            **self.front.open_requests.count_by_stage(),
        )
        self.submit(GraceEnded())
        self.front.refuse_incomplete()
        with suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await self.front.wait_closed()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that can change without a restart, which are the seeds."""
        self._log.write(
            "settings_reloaded",
            seeds=",".join(settings.seeds),
            restart_needed=settings != replace(self._settings, seeds=settings.seeds),
        )
        self._settings = replace(self._settings, seeds=settings.seeds)
        self.peers.set_seeds(settings.seeds)
        self.core.peers.expects_peers = self._settings.names_other_hosts

    def report_invalid_settings(self, error: FigshuntError) -> None:
        """Log that the new settings are invalid and keep the current ones."""
        self._log.write("settings_invalid", "error", detail=error)

    def submit(self, message: Message) -> None:
        """Process one message synchronously and apply its effects.

        After an unexpected error the effects include the answers to the callers whose
        requests it leaves without an owner.
        """
        try:
            effects = self.core.handle(message, self._clock.now())
        except FilterError as error:
            effects = error.effects
            self._error_log.write(error, Step.DAEMON, message=type(message).__name__)
        self._apply_all(effects)

    def _apply_all(self, effects: list[Effect]) -> None:
        """Carry out all effects, even if some of them fail."""
        for effect in effects:
            try:
                self._apply(effect)
            except Exception as error:
                self._error_log.write(error, Step.DAEMON, effect=type(effect).__name__)
                self._apply_all(self.core.handle_lost_effect(effect, self._clock.now()))

    def _apply(self, effect: Effect) -> None:
        match effect:
            case (
                AnswerEvent()
                | AnswerComplete()
                | AnswerStart()
                | AnswerEnd()
                | AnswerError()
                | AnswerAbort()
            ):
                self.front.deliver(effect)
            case StartCallAttempt():
                self.runners.start_attempt(effect)
            case CancelCallAttempt():
                self.runners.cancel_attempt(effect)
            case BroadcastStatus():
                self.peers.schedule_notices(effect)
            case WakeAt(monotonic_ms):
                self._timer.wake_at(monotonic_ms)
            case CountEvent():
                self._metrics.count(effect)
            case ObserveDuration():
                self._metrics.observe(effect)
            case LogEvent(event, step, fields):
                values: dict[str, Any] = dict(fields)
                self._log.write(event, step=step.value, **values)

    def _read_limits(self) -> PublishedLimits:
        configuration = self.core.directory.configuration
        return configuration.limits if configuration else PublishedLimits()

    def _announce_revision(self) -> None:
        """Announce the revision, so that peers that missed the change read it."""
        self._metrics.set_store_era(self.items.version.era)
        self.peers.announce_revision()

    def _build_status(self) -> HostStatus:
        configuration = self.core.directory.configuration
        return HostStatus(
            host=self._settings.host,
            incarnation=self._incarnation,
            address=self._settings.front.ip,
            version=configuration.version if configuration else 0,
            revision=self.items.version.revision,
            era=self.items.version.era,
            link_mbps=self._settings.link_mbps,
            can_read_store=self.items.is_available(ItemOrigin.STORE),
            data_centre=self._settings.data_centre,
            held=self.core.placement.held_notices(),
            repeats=self.core.attempts.repeat_notices(self._clock.now()),
            suspects_digest=self.core.crashes.digest,
            heard_digest=self.core.peers.heard_digest,
        )

    def _run_due_timers(self) -> None:
        self.submit(TimerDue())
        intervals = self._clock.now().monotonic_ms // TIMER_INTERVAL_MS
        self._timer.wake_at((intervals + 1) * TIMER_INTERVAL_MS)
