"""One entry host: feeds the core and carries out its effects."""

import asyncio
import random
from dataclasses import replace
from typing import Any

from mode import Service

from figshunt.dispatch import (
    AnswerBegin,
    AnswerBreak,
    AnswerEnd,
    AnswerError,
    AnswerEvent,
    AnswerWhole,
    CancelSend,
    DispatchCore,
    HostStatus,
    SendCall,
    TellPeers,
)
from figshunt.gateway._directory_reader import DirectoryReader, ItemSource
from figshunt.gateway._front_listener import FrontListener
from figshunt.gateway._mirror import MirrorListener, MirrorReader
from figshunt.gateway._peer_link import PeerLink
from figshunt.gateway._published_items import ItemOrigin, PublishedItems
from figshunt.gateway._runner_caller import RunnerCaller
from figshunt.gateway._settings import GatewaySettings
from figshunt.gateway._side_listeners import (
    build_metrics_listener,
    build_readiness_listener,
)
from figshunt.gateway._wire import CallCodec, ItemCodec
from figshunt.runtime import EventLog, Metrics, WakeTimer
from figshunt.types import (
    Clock,
    CountEvent,
    Effect,
    FigshuntError,
    LogEvent,
    Message,
    ObserveDuration,
    TimerDue,
    WakeAt,
)

# The platform asks for readiness once a second and sends callers elsewhere
# after two refusals; until then they still open connections here.
STOP_ACCEPTING_MS = 2_600

# Left of the grace period for closing what is still open.
STOP_MARGIN_MS = 400

# Filters look at their own deadlines at least this often.
TURN_MS = 200


class GatewayDaemon(Service):
    """The services of one entry host around a :class:`DispatchCore`."""

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
        self._incarnation = clock.now().wall_ms
        self._is_draining = False
        self._metrics = Metrics()
        self.core = DispatchCore(
            settings.host, settings.data_centre, settings.bounds, random_source
        )
        self.items = PublishedItems(item_codec, self, self._log, self._tell_revision)
        self.reader = DirectoryReader(
            source,
            self.items,
            lambda: 1 + len(self.core.peers.statuses()),
            clock,
            self._log,
            random_source,
        )
        self.mirror_listener = MirrorListener(settings.mirror, self.items)
        self.mirror_reader = MirrorReader(
            self.items,
            settings.mirror.port,
            lambda: self.core.peers.statuses().values(),
            self._log,
            random_source,
        )
        self.front = FrontListener(settings.front, call_codec, self, clock, self._log)
        self.runners = RunnerCaller(call_codec, self)
        self.peers = PeerLink(
            settings.front.ip,
            settings.peer_port,
            settings.seeds,
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
        self._timer = WakeTimer(clock, self._turn)

    def on_init_dependencies(self) -> list[Service]:
        """Return the services in the order in which they start."""
        return [
            self.runners,
            self.front,
            self.peers,
            self.metrics,
            self.mirror_listener,
            self.mirror_reader,
            self.reader,
            self.readiness,
        ]

    def is_ready(self) -> bool:
        """Return whether callers may be sent here."""
        directory = self.core.directory
        return not self._is_draining and directory.configuration is not None

    async def on_started(self) -> None:
        """Log the start and wake the core for the first time."""
        self._log.write(
            "daemon_started",
            incarnation=self._incarnation,
            front_port=self.front.port,
            readiness_port=self.readiness.port,
            metrics_port=self.metrics.port,
            data_centre=self._settings.data_centre,
        )
        self._turn()

    async def on_stop(self) -> None:
        """Cancel the timer."""
        self._timer.stop()
        self._log.write("daemon_stopped")

    async def drain(self) -> None:
        """Shut down gracefully within the grace period.

        Callers' new connections are accepted until the platform has noticed
        that this host isn't ready; then only what is in progress goes on.
        """
        self._is_draining = True
        self._log.write("drain_started", grace_ms=self._settings.stop_grace_ms)
        self.peers.send_now()
        self.front.start_drain()
        await asyncio.sleep(STOP_ACCEPTING_MS / 1000)
        await self.front.stop_accepting()
        left_ms = self._settings.stop_grace_ms - STOP_ACCEPTING_MS - STOP_MARGIN_MS
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self.front.wait_idle()
        except TimeoutError:
            self._log.write(
                "drain_incomplete", "warning", sends=self.core.sends.in_flight
            )
        self._log.write("drain_finished")

    def reload(self, settings: GatewaySettings) -> None:
        """Take over what may change while the daemon runs: the seeds."""
        self._log.write(
            "settings_reloaded",
            seeds=",".join(settings.seeds),
            restart_needed=settings != replace(self._settings, seeds=settings.seeds),
        )
        self._settings = replace(self._settings, seeds=settings.seeds)
        self.peers.set_seeds(settings.seeds)

    def keep_settings(self, error: FigshuntError) -> None:
        """Go on with the settings in force, as the new ones are invalid."""
        self._log.write("settings_invalid", "error", detail=error)

    def feed(self, message: Message) -> None:
        """Process one message now and carry out its effects."""
        for effect in self.core.handle(message, self._clock.now()):
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case (
                AnswerEvent()
                | AnswerWhole()
                | AnswerBegin()
                | AnswerEnd()
                | AnswerError()
                | AnswerBreak()
            ):
                self.front.deliver(effect)
            case SendCall():
                self.runners.start_send(effect)
            case CancelSend():
                self.runners.cancel_send(effect)
            case TellPeers():
                self.peers.tell(effect)
            case WakeAt(monotonic_ms):
                self._timer.wake_at(monotonic_ms)
            case CountEvent():
                self._metrics.count(effect)
            case ObserveDuration():
                self._metrics.observe(effect)
            case LogEvent(event, step, fields):
                values: dict[str, Any] = dict(fields)
                self._log.write(event, step=step.value, **values)

    def _tell_revision(self) -> None:
        """Tell peers at once, so that those which don't see the change ask."""
        self.peers.send_now()

    def _build_status(self) -> HostStatus:
        configuration = self.core.directory.configuration
        return HostStatus(
            host=self._settings.host,
            incarnation=self._incarnation,
            address=self._settings.front.ip,
            version=configuration.version if configuration else 0,
            revision=self.items.revision,
            is_current=self.items.is_open(ItemOrigin.STORE),
        )

    def _turn(self) -> None:
        self.feed(TimerDue())
        turns = self._clock.now().monotonic_ms // TURN_MS
        self._timer.wake_at((turns + 1) * TURN_MS)
