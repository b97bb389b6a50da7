"""Bytes and processor time of heartbeats over real peer links.

Run as ``python -m benchmarks.peer_cost``. One daemon's links and control
filters exchange heartbeats with 2, 4 and 8 peers on the loopback address, at
a multiple of the real rate; all daemons run in one loop, so the time of one
is the total divided by their number. The baseline is the same loop without
heartbeats, which is subtracted.
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

PEERS = (2, 4, 8)
HEARTBEATS_PER_S = 2
BEATS = 400
# TCP and IP headers of a data segment and of its acknowledgement, and the
# masked websocket header: what the payload size leaves out.
OVERHEAD_BYTES = 2 * 52 + 6


class Member:
    """One daemon's links and heartbeat filter."""

    def __init__(self, seat: int, ports: list[int], clock: ManualClock) -> None:
        self.clock = clock
        seats = tuple(SeatNumber(number) for number in range(len(ports)))
        self.membership = MembershipFilter(seats[seat], seats, random.Random(seat))
        settings = _settings(seat, ports)
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
        """Process one message as the daemon does."""
        if type(message) in self.membership.accepts:
            for output in self.membership.process(message, self.clock.now()):
                if isinstance(output, SendPeer):
                    self.links.send(output)


def _settings(seat: int, ports: list[int]) -> DaemonSettings:
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


async def _free_ports(count: int) -> list[int]:
    servers = [
        await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
        for _ in range(count)
    ]
    ports = [int(server.sockets[0].getsockname()[1]) for server in servers]
    for server in servers:
        server.close()
    return ports


async def _run(peers: int, beats: int) -> tuple[float, int, int]:
    """Return processor seconds, heartbeats sent and their payload bytes."""
    clock = ManualClock()
    ports = await _free_ports(peers + 1)
    members = [Member(seat, ports, clock) for seat in range(peers + 1)]
    for member in members:
        await member.links.start()
    while not all(
        member.links.is_connected(SeatNumber(other))
        for seat, member in enumerate(members)
        for other in range(peers + 1)
        if other != seat
    ):
        await asyncio.sleep(0.01)
    before = [dict(member.links.counts) for member in members]
    started_s = time.process_time()
    for _ in range(beats):
        clock.advance(1_000 // HEARTBEATS_PER_S)
        for member in members:
            member.submit(TimerDue())
        await asyncio.sleep(0.005)
    spent_s = time.process_time() - started_s
    sent = sum(
        member.links.counts[LinkCounter.SENT_MESSAGES]
        - counts.get(LinkCounter.SENT_MESSAGES, 0)
        for member, counts in zip(members, before, strict=True)
    )
    sent_bytes = sum(
        member.links.counts[LinkCounter.SENT_BYTES]
        - counts.get(LinkCounter.SENT_BYTES, 0)
        for member, counts in zip(members, before, strict=True)
    )
    for member in members:
        await member.links.stop()
    return spent_s, sent, sent_bytes


async def _idle() -> float:
    """Return processor seconds of the same loop without heartbeats."""
    started_s = time.process_time()
    for _ in range(BEATS):
        await asyncio.sleep(0.005)
    return time.process_time() - started_s


async def main() -> None:
    """Print one line for each number of peers."""
    heartbeat = Heartbeat(RevisionNumber(1_000), False, True, 2**48, 2**48)
    print(f"heartbeat_payload_bytes={len(encode_peer_message(heartbeat))}")
    for peers in PEERS:
        idle_s = await _idle()
        spent_s, sent, sent_bytes = await _run(peers, BEATS)
        each_us = (spent_s - idle_s) / sent * 1e6
        payload = sent_bytes / sent
        rate = peers * HEARTBEATS_PER_S
        percent = each_us * rate / 1e4
        print(
            f"peers={peers} sent={sent} payload_bytes={payload:.0f}"
            f" us_per_heartbeat_both_ends={each_us:.0f}"
            f" core_percent_per_daemon={percent:.3f}"
            f" sent_bytes_per_s_with_headers={rate * (payload + OVERHEAD_BYTES):.0f}"
        )


if __name__ == "__main__":
    asyncio.run(main())
