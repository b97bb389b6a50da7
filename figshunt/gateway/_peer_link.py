"""Exchanges host statuses and notices with other hosts by UDP datagrams."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from mode import Service

from figshunt.dispatch import (
    BroadcastStatus,
    HostStatus,
    LimitNotice,
    OccupancyNotice,
    PeerStatusReceived,
    PlacementNotice,
    QueueNotice,
    RejectionNotice,
    SilenceNotice,
    SpeedNotice,
    Suspect,
    SuspectReport,
)
from figshunt.exchange import Outgoing, StatusExchange
from figshunt.gateway._status_codec import decode_bundle, encode_bundle
from figshunt.runtime import EventLog, LogRateLimit, MessageSink
from figshunt.types import Clock, Moment, RunnerId, Step

# Notices and forwarded statuses are delayed by this much, so that one datagram
# carries several. That a request has ended is less urgent than that one was sent.
BATCH_DELAY_MS = 15
OCCUPANCY_DELAY_MS = 200
FORWARD_DELAY_MS = 30

# Mean interval between the statuses that a host sends even without notices.
HEARTBEAT_INTERVAL_MS = 500

# Notices of one kind in a status, which keep it below the usual packet size.
MAX_NOTICES_PER_STATUS = 10

BAD_DATAGRAM_LOG_INTERVAL_MS = 5_000


class PeerLink(Service, asyncio.DatagramProtocol):
    """Sends this host's statuses and passes those of other hosts to the core.

    The exchange decides what is sent to whom. Each datagram is complete in itself.
    None is retransmitted, as its content would be out of date by the time that a
    second copy arrived.
    """

    def __init__(
        self,
        own_ip: str,
        port: int,
        exchange: StatusExchange,
        build_status: Callable[[], HostStatus],
        message_sink: MessageSink,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._own_ip = own_ip
        self._port = port
        self._exchange = exchange
        self._build_status = build_status
        self._message_sink = message_sink
        self._clock = clock
        self._log = log
        self._random = random_source
        self._bad_datagram_limit = LogRateLimit(clock, BAD_DATAGRAM_LOG_INTERVAL_MS)
        self._placements: list[PlacementNotice] = []
        self._suspects_by_key: dict[Suspect, SuspectReport] = {}
        self._queues_by_runner: dict[RunnerId, QueueNotice] = {}
        self._silences_by_runner: dict[RunnerId, SilenceNotice] = {}
        self._occupancies_by_runner: dict[tuple[RunnerId, int], OccupancyNotice] = {}
        self._limits_by_runner: dict[RunnerId, LimitNotice] = {}
        self._speeds_by_runner: dict[RunnerId, SpeedNotice] = {}
        self._rejections_by_runner: dict[RunnerId, RejectionNotice] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        self._forward_timer: asyncio.TimerHandle | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    async def on_start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._own_ip, self._port)
        )

    async def on_started(self) -> None:
        """Start sending heartbeats."""
        self._send_heartbeat()

    async def on_stop(self) -> None:
        """Close the socket."""
        for timer in (self._heartbeat_timer, self._flush_timer, self._forward_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the hosts through which others are found."""
        self._exchange.set_seeds(seeds)

    def schedule_notices(self, effect: BroadcastStatus) -> None:
        """Add notices to the next batch."""
        self._placements.extend(effect.placements)
        self._suspects_by_key.update(
            (report.suspect, report) for report in effect.suspects
        )
        self._queues_by_runner.update(
            (notice.runner_id, notice) for notice in effect.queues
        )
        self._silences_by_runner.update(
            (notice.runner_id, notice) for notice in effect.silences
        )
        self._occupancies_by_runner.update(
            ((notice.runner_id, notice.priority), notice)
            for notice in effect.occupancies
        )
        self._limits_by_runner.update(
            (notice.runner_id, notice) for notice in effect.limits
        )
        self._speeds_by_runner.update(
            (notice.runner_id, notice) for notice in effect.speeds
        )
        self._rejections_by_runner.update(
            (notice.runner_id, notice) for notice in effect.rejections
        )
        if effect.can_wait:
            return
        is_urgent = effect != BroadcastStatus(occupancies=effect.occupancies)
        delay_ms = BATCH_DELAY_MS if is_urgent else OCCUPANCY_DELAY_MS
        self._schedule_flush(delay_ms / 1000)

    def send_now(self) -> None:
        """Send all queued notices and the current status at once."""
        self._flush()
        self._send(self._exchange.send_heartbeat(self._build_own_status(), self._now()))

    def announce_revision(self) -> None:
        """Tell other hosts of a newer revision.

        In a large fleet the relays do it, as nearly all hosts read the same change
        at the same time. The others tell it with their next heartbeat.
        """
        if not self._exchange.uses_relays or self._exchange.is_relay(self._now()):
            self.send_now()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a peer's status and pass it to the core; log malformed datagrams."""
        try:
            bundle = decode_bundle(data)
        except ValueError as error:
            suppressed = self._bad_datagram_limit.admit()
            if suppressed is not None:
                self._log.write(
                    "bad_datagram",
                    "warning",
                    step=Step.PEERS.value,
                    peer=addr[0],
                    detail=error,
                    suppressed=suppressed,
                )
            return
        statuses, answers = self._exchange.receive(bundle, self._now())
        self._send(answers)
        self._schedule_forward()
        for status in statuses:
            self._message_sink.submit(PeerStatusReceived(status))

    def error_received(self, error: Exception) -> None:
        """Ignore errors such as a closed port: an unreachable peer expires anyway."""

    def _now(self) -> Moment:
        return self._clock.now()

    def _send_heartbeat(self) -> None:
        self._flush()
        self._send(self._exchange.send_heartbeat(self._build_own_status(), self._now()))
        wait_ms = HEARTBEAT_INTERVAL_MS * (0.8 + 0.4 * self._random.random())
        self._heartbeat_timer = asyncio.get_running_loop().call_later(
            wait_ms / 1000, self._send_heartbeat
        )

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._flush_timer = None
        pending = self._take_pending()
        while any(pending.values()):
            fields: dict[str, Any] = {
                name: tuple(notices[:MAX_NOTICES_PER_STATUS])
                for name, notices in pending.items()
            }
            status = replace(self._build_own_status(), **fields)
            self._send(self._exchange.send_notices(status, self._now()))
            pending = {
                name: notices[MAX_NOTICES_PER_STATUS:]
                for name, notices in pending.items()
            }
        self._schedule_forward()

    def _schedule_flush(self, delay_s: float) -> None:
        """Send the queued notices after a delay, or earlier if that is scheduled."""
        loop = asyncio.get_running_loop()
        if self._flush_timer is not None:
            if self._flush_timer.when() <= loop.time() + delay_s:
                return
            self._flush_timer.cancel()
        self._flush_timer = loop.call_later(delay_s, self._flush)

    def _take_pending(self) -> dict[str, list[Any]]:
        """Return the queued notices by the names of their fields."""
        pending: dict[str, list[Any]] = {
            "placements": self._placements,
            "suspects": list(self._suspects_by_key.values()),
            "queues": list(self._queues_by_runner.values()),
            "silences": list(self._silences_by_runner.values()),
            "occupancies": list(self._occupancies_by_runner.values()),
            "limits": list(self._limits_by_runner.values()),
            "speeds": list(self._speeds_by_runner.values()),
            "rejections": list(self._rejections_by_runner.values()),
        }
        self._placements = []
        self._suspects_by_key = {}
        self._queues_by_runner = {}
        self._silences_by_runner = {}
        self._occupancies_by_runner = {}
        self._limits_by_runner = {}
        self._speeds_by_runner = {}
        self._rejections_by_runner = {}
        return pending

    def _schedule_forward(self) -> None:
        if self._forward_timer is None and self._exchange.has_pending:
            self._forward_timer = asyncio.get_running_loop().call_later(
                FORWARD_DELAY_MS / 1000, self._forward
            )

    def _forward(self) -> None:
        self._forward_timer = None
        self._send(self._exchange.forward_pending(self._now()))

    def _build_own_status(self) -> HostStatus:
        known_hosts = self._exchange.known_hosts(self._now())
        return replace(self._build_status(), known_hosts=known_hosts)

    def _send(self, outgoing_bundles: Sequence[Outgoing]) -> None:
        if self._transport is None:
            return
        for outgoing in outgoing_bundles:
            data = encode_bundle(outgoing.bundle)
            for ip in outgoing.addresses:
                self._transport.sendto(data, (ip, self._port))
