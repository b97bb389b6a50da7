"""Size and CPU time of heartbeats over real peer links.

Run as ``python -m benchmarks.peer_cost``. The peer links and heartbeat filters of
daemons with 2, 4 and 8 peers each exchange heartbeats on the loopback address at a
multiple of the normal rate. All daemons share one event loop, so the CPU time of one
daemon is the total divided by their number. The time of the same loop without
heartbeats is the baseline and is subtracted.
"""

import asyncio
import random
import time
from dataclasses import replace

from figshunt.codec import encode_peer_message
from figshunt.control import MembershipFilter
from figshunt.runtime import EventLog
from figshunt.services import LinkCounter, PeerIdentity, PeerLinks
from figshunt.settings import Address, DaemonSettings, PeerSettings, check_settings
from figshunt.types import (
    Heartbeat,
    HostName,
    IncarnationNumber,
    ManualClock,
    Message,
    RevisionNumber,
    SeatNumber,
    SendPeer,
    SystemClock,
    TimerDue,
)

PEER_COUNTS = (2, 4, 8)
HEARTBEATS_PER_S = 2
ROUNDS = 400
# TCP and IP headers of a data segment and of its acknowledgement plus the masked
# WebSocket header, none of which is part of the payload size.
OVERHEAD_BYTES = 2 * 52 + 6


class BenchmarkDaemon:
    """The peer links and the heartbeat filter of one daemon."""

    def __init__(self, seat: int, ports: list[int], clock: ManualClock) -> None:
        self.clock = clock
        seats = tuple(SeatNumber(number) for number in range(len(ports)))
        self.membership = MembershipFilter(seats[seat], seats, random.Random(seat))
        settings = _build_settings(seat, ports)
        identity = PeerIdentity(seats[seat], HostName("h"), IncarnationNumber(1))
        self.links = PeerLinks(
            settings,
            identity,
            self,
            SystemClock(),
            EventLog({}),
            random.Random(seat),
        )

    def submit(self, message: Message) -> None:
        """Process a message in the heartbeat filter and send the resulting messages."""
        if type(message) in self.membership.accepts:
            for output in self.membership.process(message, self.clock.now()):
                if isinstance(output, SendPeer):
                    self.links.send(output)


def _build_settings(seat: int, ports: list[int]) -> DaemonSettings:
    loopback = {"ip": "127.0.0.1", "port": 0}
    document = {
        "host": f"host-{seat}",
        "data_centre": "accra-1",
        "seat": seat,
        "peers": [],
        "peer_secret": "peer-secret-of-the-benchmark",
        "caller_address": loopback,
        "admin_address": loopback,
        "peer_address": loopback,
        "configuration_url": "http://127.0.0.1:1",
        "host_list_url": "http://127.0.0.1:1",
    }
    settings = check_settings(document).settings
    assert settings is not None
    address = Address("127.0.0.1", ports[seat])
    peers = tuple(
        PeerSettings(SeatNumber(other), Address("127.0.0.1", port))
        for other, port in enumerate(ports)
        if other != seat
    )
    return replace(settings, peers=peers, peer_address=address)


async def _find_free_ports(count: int) -> list[int]:
    servers = [
        await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
        for _ in range(count)
    ]
    ports = [int(server.sockets[0].getsockname()[1]) for server in servers]
    for server in servers:
        server.close()
    return ports


async def _measure_heartbeats(peers: int, rounds: int) -> tuple[float, int, int]:
    """Return the CPU time in seconds, the heartbeats sent and their payload bytes."""
    clock = ManualClock()
    ports = await _find_free_ports(peers + 1)
    daemons = [BenchmarkDaemon(seat, ports, clock) for seat in range(peers + 1)]
    for daemon in daemons:
        await daemon.links.start()
    while not all(
        daemon.links.is_connected(SeatNumber(other))
        for seat, daemon in enumerate(daemons)
        for other in range(peers + 1)
        if other != seat
    ):
        await asyncio.sleep(0.01)
    counts_before = [dict(daemon.links.counts) for daemon in daemons]
    started_s = time.process_time()
    for _ in range(rounds):
        clock.advance(1_000 // HEARTBEATS_PER_S)
        for daemon in daemons:
            daemon.submit(TimerDue())
        await asyncio.sleep(0.005)
    elapsed_s = time.process_time() - started_s
    sent_count = sum(
        daemon.links.counts[LinkCounter.SENT_MESSAGES]
        - counts.get(LinkCounter.SENT_MESSAGES, 0)
        for daemon, counts in zip(daemons, counts_before, strict=True)
    )
    sent_bytes = sum(
        daemon.links.counts[LinkCounter.SENT_BYTES]
        - counts.get(LinkCounter.SENT_BYTES, 0)
        for daemon, counts in zip(daemons, counts_before, strict=True)
    )
    for daemon in daemons:
        await daemon.links.stop()
    return elapsed_s, sent_count, sent_bytes


async def _measure_idle() -> float:
    """Return the CPU time in seconds of the same loop without heartbeats."""
    started_s = time.process_time()
    for _ in range(ROUNDS):
        await asyncio.sleep(0.005)
    return time.process_time() - started_s


async def main() -> None:
    """Print one line of figures for each number of peers."""
    heartbeat = Heartbeat(RevisionNumber(1_000), False, True, 2**48, 2**48)
    print(f"heartbeat_payload_bytes={len(encode_peer_message(heartbeat))}")
    for peers in PEER_COUNTS:
        idle_s = await _measure_idle()
        elapsed_s, sent_count, sent_bytes = await _measure_heartbeats(peers, ROUNDS)
        heartbeat_us = (elapsed_s - idle_s) / sent_count * 1e6
        payload_bytes = sent_bytes / sent_count
        heartbeats_per_s = peers * HEARTBEATS_PER_S
        percent = heartbeat_us * heartbeats_per_s / 1e4
        print(
            f"peers={peers} sent={sent_count} payload_bytes={payload_bytes:.0f}"
            f" us_per_heartbeat_both_ends={heartbeat_us:.0f}"
            f" core_percent_per_daemon={percent:.3f}"
            f" sent_bytes_per_s_with_headers="
            f"{heartbeats_per_s * (payload_bytes + OVERHEAD_BYTES):.0f}"
        )


if __name__ == "__main__":
    asyncio.run(main())
