"""Exchanges host statuses and notices with other hosts by UDP datagrams."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from mode import Service

from figshunt.dispatch import (
    BroadcastStatus,
    HostStatus,
    PeerStatusReceived,
    PlacementNotice,
    QueueNotice,
)
from figshunt.gateway._status_codec import decode_status, encode_status
from figshunt.runtime import EventLog, LogRateLimit, MessageSink
from figshunt.types import Clock, Fingerprint, RunnerId, Step

# Notices are delayed by this much so that one datagram carries several. The delay
# grows with the number of peers, which bounds the cost of sending to all of them.
BATCH_DELAY_MS_PER_PEER = 2
MIN_BATCH_DELAY_MS = 15

# Mean interval between the statuses that a host sends even without notices.
HEARTBEAT_INTERVAL_MS = 500

# A peer's address is removed after this time without a datagram from it. Seeds are
# never removed.
PEER_EXPIRY_MS = 15_000

# These limits keep a datagram below the usual packet size.
MAX_PLACEMENTS_PER_DATAGRAM = 10
MAX_CRASHES_PER_DATAGRAM = 10
MAX_QUEUES_PER_DATAGRAM = 10
MAX_ADDRESSES_PER_DATAGRAM = 24

BAD_DATAGRAM_LOG_INTERVAL_MS = 5_000


class PeerLink(Service, asyncio.DatagramProtocol):
    """Sends this host's status to all known hosts and passes theirs to the core.

    Each datagram is complete in itself. None is retransmitted, as its content
    would be out of date by the time that a second copy arrived.
    """

    def __init__(
        self,
        own_ip: str,
        port: int,
        seeds: tuple[str, ...],
        build_status: Callable[[], HostStatus],
        message_sink: MessageSink,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._own_ip = own_ip
        self._port = port
        self._seeds = seeds
        self._build_status = build_status
        self._message_sink = message_sink
        self._clock = clock
        self._log = log
        self._random = random_source
        self._bad_datagram_limit = LogRateLimit(clock, BAD_DATAGRAM_LOG_INTERVAL_MS)
        self._last_seen_ms_by_ip: dict[str, int] = {}
        self._placements: list[PlacementNotice] = []
        self._crash_reports: list[tuple[Fingerprint, str]] = []
        self._queues_by_runner: dict[RunnerId, QueueNotice] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._flush_timer: asyncio.TimerHandle | None = None
        self._heartbeat_timer: asyncio.TimerHandle | None = None

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of hosts that were recently seen or named by a peer."""
        return tuple(self._last_seen_ms_by_ip)

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
        for timer in (self._heartbeat_timer, self._flush_timer):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the hosts to which every datagram is sent."""
        self._seeds = seeds

    def schedule_notices(self, effect: BroadcastStatus) -> None:
        """Add placements, crashes and runners' backlogs to the next batch."""
        self._placements.extend(effect.placements)
        self._crash_reports.extend(effect.crash_reports)
        self._queues_by_runner.update(
            (notice.runner_id, notice) for notice in effect.queues
        )
        if self._flush_timer is None:
            wait_ms = max(
                MIN_BATCH_DELAY_MS,
                BATCH_DELAY_MS_PER_PEER * len(self._last_seen_ms_by_ip),
            )
            self._flush_timer = asyncio.get_running_loop().call_later(
                wait_ms / 1000, self._flush
            )

    def send_now(self) -> None:
        """Send all queued notices and the current status at once."""
        self._flush()
        self._send()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a peer's status and pass it to the core; log malformed datagrams."""
        try:
            status = decode_status(data)
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
        now_ms = self._clock.now().monotonic_ms
        self._last_seen_ms_by_ip[addr[0]] = now_ms
        for address in status.peer_addresses:
            if address != self._own_ip:
                self._last_seen_ms_by_ip.setdefault(address, now_ms)
        self._message_sink.submit(PeerStatusReceived(status))

    def error_received(self, error: Exception) -> None:
        """Ignore errors such as a closed port: an unreachable peer expires anyway."""

    def _send_heartbeat(self) -> None:
        self._remove_expired_peers()
        self._send()
        wait_ms = HEARTBEAT_INTERVAL_MS * (0.8 + 0.4 * self._random.random())
        self._heartbeat_timer = asyncio.get_running_loop().call_later(
            wait_ms / 1000, self._send_heartbeat
        )

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._flush_timer = None
        placements, self._placements = self._placements, []
        crash_reports, self._crash_reports = self._crash_reports, []
        queues = list(self._queues_by_runner.values())
        self._queues_by_runner = {}
        while placements or crash_reports or queues:
            self._send(
                placements[:MAX_PLACEMENTS_PER_DATAGRAM],
                crash_reports[:MAX_CRASHES_PER_DATAGRAM],
                queues[:MAX_QUEUES_PER_DATAGRAM],
            )
            placements = placements[MAX_PLACEMENTS_PER_DATAGRAM:]
            crash_reports = crash_reports[MAX_CRASHES_PER_DATAGRAM:]
            queues = queues[MAX_QUEUES_PER_DATAGRAM:]

    def _send(
        self,
        placements: Sequence[PlacementNotice] = (),
        crash_reports: Sequence[tuple[Fingerprint, str]] = (),
        queues: Sequence[QueueNotice] = (),
    ) -> None:
        if self._transport is None:
            return
        is_heartbeat = not placements and not crash_reports and not queues
        addresses = self.addresses[:MAX_ADDRESSES_PER_DATAGRAM] if is_heartbeat else ()
        status = replace(
            self._build_status(),
            peer_addresses=addresses,
            placements=tuple(placements),
            crash_reports=tuple(crash_reports),
            queues=tuple(queues),
        )
        data = encode_status(status)
        for ip in {*self._seeds, *self._last_seen_ms_by_ip} - {self._own_ip}:
            self._transport.sendto(data, (ip, self._port))

    def _remove_expired_peers(self) -> None:
        min_last_seen_ms = self._clock.now().monotonic_ms - PEER_EXPIRY_MS
        for ip, last_seen_ms in tuple(self._last_seen_ms_by_ip.items()):
            if last_seen_ms < min_last_seen_ms:
                del self._last_seen_ms_by_ip[ip]
