"""Tells other hosts what this one does, and hears them, by datagrams."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from mode import Service

from figshunt.dispatch import (
    HostStatus,
    PeerHeard,
    PlacementNotice,
    QueueNotice,
    TellPeers,
)
from figshunt.gateway._status_codec import decode_status, encode_status
from figshunt.runtime import EventLimit, EventLog, Feed
from figshunt.types import Clock, Fingerprint, RunnerId, Step

# Placements wait this long for others, so that one datagram carries several.
# With more peers they wait in proportion, so that a host's cost stays bounded.
GATHER_MS_PER_PEER = 2
LEAST_GATHER_MS = 15

# Without anything to tell, a host says this often that it is there.
BEACON_MS = 500

# A peer's address is given up after this long without a datagram; seeds never.
FORGET_MS = 15_000

# Datagrams stay below the usual size of a packet.
MOST_PLACEMENTS = 10
MOST_CRASHES = 10
MOST_QUEUES = 10
MOST_TOLD_ADDRESSES = 24

BAD_DATAGRAM_LOG_MS = 5_000


class PeerLink(Service, asyncio.DatagramProtocol):
    """Sends this host's status to all known hosts and feeds what they send.

    Each datagram stands for itself and none is repeated: what it tells is out
    of date before it would arrive again.
    """

    def __init__(
        self,
        own_ip: str,
        port: int,
        seeds: tuple[str, ...],
        build_status: Callable[[], HostStatus],
        feed: Feed,
        clock: Clock,
        log: EventLog,
        random_source: random.Random,
    ) -> None:
        super().__init__()
        self._own_ip = own_ip
        self._port = port
        self._seeds = seeds
        self._build_status = build_status
        self._feed = feed
        self._clock = clock
        self._log = log
        self._random = random_source
        self._bad_datagrams = EventLimit(clock, BAD_DATAGRAM_LOG_MS)
        self._heard_ms_by_ip: dict[str, int] = {}
        self._placements: list[PlacementNotice] = []
        self._crashes: list[tuple[Fingerprint, str]] = []
        self._queues_by_runner: dict[RunnerId, QueueNotice] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._flushing: asyncio.TimerHandle | None = None
        self._beacon_timer: asyncio.TimerHandle | None = None

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the hosts that were heard lately."""
        return tuple(self._heard_ms_by_ip)

    async def on_start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, (self._own_ip, self._port)
        )

    async def on_started(self) -> None:
        """Start to send."""
        self._send_beacon()

    async def on_stop(self) -> None:
        """Close the socket."""
        for timer in (self._beacon_timer, self._flushing):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the hosts that are always told."""
        self._seeds = seeds

    def tell(self, effect: TellPeers) -> None:
        """Send placements, crashes and queues soon."""
        self._placements.extend(effect.placements)
        self._crashes.extend(effect.crashed)
        self._queues_by_runner.update(
            (notice.runner_id, notice) for notice in effect.queues
        )
        if self._flushing is None:
            wait_ms = max(
                LEAST_GATHER_MS, GATHER_MS_PER_PEER * len(self._heard_ms_by_ip)
            )
            self._flushing = asyncio.get_running_loop().call_later(
                wait_ms / 1000, self._flush
            )

    def send_now(self) -> None:
        """Send the status at once, as when this host is about to stop."""
        self._flush()
        self._send()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram."""
        try:
            status = decode_status(data)
        except ValueError as error:
            suppressed = self._bad_datagrams.admit()
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
        self._heard_ms_by_ip[addr[0]] = now_ms
        for address in status.peer_addresses:
            if address != self._own_ip:
                self._heard_ms_by_ip.setdefault(address, now_ms)
        self._feed.feed(PeerHeard(status))

    def error_received(self, error: Exception) -> None:
        """Ignore that a peer's port is closed: its silence says the same."""

    def _send_beacon(self) -> None:
        self._forget_silent()
        self._send()
        wait_ms = BEACON_MS * (0.8 + 0.4 * self._random.random())
        self._beacon_timer = asyncio.get_running_loop().call_later(
            wait_ms / 1000, self._send_beacon
        )

    def _flush(self) -> None:
        if self._flushing is not None:
            self._flushing.cancel()
        self._flushing = None
        placements, self._placements = self._placements, []
        crashed, self._crashes = self._crashes, []
        queues = list(self._queues_by_runner.values())
        self._queues_by_runner = {}
        while placements or crashed or queues:
            self._send(
                placements[:MOST_PLACEMENTS],
                crashed[:MOST_CRASHES],
                queues[:MOST_QUEUES],
            )
            placements = placements[MOST_PLACEMENTS:]
            crashed = crashed[MOST_CRASHES:]
            queues = queues[MOST_QUEUES:]

    def _send(
        self,
        placements: Sequence[PlacementNotice] = (),
        crashed: Sequence[tuple[Fingerprint, str]] = (),
        queues: Sequence[QueueNotice] = (),
    ) -> None:
        if self._transport is None:
            return
        is_beacon = not placements and not crashed and not queues
        addresses = self.addresses[:MOST_TOLD_ADDRESSES] if is_beacon else ()
        status = replace(
            self._build_status(),
            peer_addresses=addresses,
            placements=tuple(placements),
            crashed=tuple(crashed),
            queues=tuple(queues),
        )
        data = encode_status(status)
        for ip in {*self._seeds, *self._heard_ms_by_ip} - {self._own_ip}:
            self._transport.sendto(data, (ip, self._port))

    def _forget_silent(self) -> None:
        oldest_ms = self._clock.now().monotonic_ms - FORGET_MS
        for ip, heard_ms in tuple(self._heard_ms_by_ip.items()):
            if heard_ms < oldest_ms:
                del self._heard_ms_by_ip[ip]
