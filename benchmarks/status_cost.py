"""Cost of statuses between entry hosts: processor time and datagrams.

    python -m benchmarks.status_cost

Measures what a host spends to encode, decode and handle one status, without sockets,
and how many datagrams a host sends per second in fleets of growing size, in virtual
time and without notices.
"""

import random
import time

from figshunt.directory import (
    ConfigurationPublished,
    RunnerListed,
    SourceStateChanged,
)
from figshunt.dispatch import (
    DispatchCore,
    PartId,
    PeerStatusReceived,
    PlacementNotice,
    PromptPart,
    SharedBounds,
)
from figshunt.exchange import Bundle, BundlePurpose
from figshunt.gateway._status_codec import decode_bundle, encode_bundle
from figshunt.types import (
    DataCentreName,
    HostName,
    ManualClock,
    Moment,
    RunnerId,
    Version,
)
from tests.builders import (
    build_configuration,
    build_host_status,
    build_published_runner,
)
from tests.exchange.fleet import ExchangeFleet

RUNNER_COUNT = 45
PLACEMENT_COUNT = 3
ROUNDS = 2_000
FLEETS = ((5, 4), (30, 6), (78, 6), (330, 19))
SETTLE_MS = 6_000
MEASURED_S = 4


def measure_status(placements: tuple[PlacementNotice, ...]) -> tuple[float, float]:
    """Return the time to decode and to handle one status, in microseconds."""
    core = DispatchCore(
        HostName("h1"), DataCentreName("a"), SharedBounds(), random.Random(1)
    )
    clock = ManualClock(Moment(100_000, 0))
    core.handle(SourceStateChanged(True, "benchmark"), clock.now())
    core.handle(
        ConfigurationPublished(Version.of(0, 1), build_configuration()), clock.now()
    )
    for number in range(RUNNER_COUNT):
        runner = build_published_runner(f"e{number}")
        core.handle(
            RunnerListed(Version.of(0, 2 + number), runner.runner_id, runner),
            clock.now(),
        )
    status = build_host_status(placements=placements)
    bundle = Bundle(status.host, status.data_centre, BundlePurpose.INFORM, (status,))
    data = encode_bundle(bundle)
    started_ns = time.process_time_ns()
    for _ in range(ROUNDS):
        decode_bundle(data)
    decoded_ns = time.process_time_ns()
    for _ in range(ROUNDS):
        core.handle(PeerStatusReceived(status), clock.advance(3))
    handled_ns = time.process_time_ns()
    return (
        (decoded_ns - started_ns) / 1_000 / ROUNDS,
        (handled_ns - decoded_ns) / 1_000 / ROUNDS,
    )


def measure_datagrams(hosts: int, data_centres: int) -> tuple[float, float]:
    """Return the datagrams that a host sends per second: the mean and the most."""
    fleet = ExchangeFleet(hosts, data_centres)
    fleet.run(SETTLE_MS)
    for host in fleet.hosts:
        host.sent_datagrams = 0
    fleet.run(MEASURED_S * 1_000)
    sent = [host.sent_datagrams / MEASURED_S for host in fleet.hosts]
    return sum(sent) / hosts, max(sent)


def main() -> None:
    """Print one line of figures."""
    placements = tuple(
        PlacementNotice(
            RunnerId(f"e{number}"),
            900,
            200,
            900,
            tuple(
                PromptPart(PartId(f"{number}{part}"), 1_000)
                for part in ("shared", "team", "own")
            ),
        )
        for number in range(PLACEMENT_COUNT)
    )
    figures = []
    for name, notices in (("heartbeat", ()), ("three placements", placements)):
        decode_us, handle_us = measure_status(notices)
        figures.append(f"{name}: decode {decode_us:.0f} us, handle {handle_us:.0f} us")
    for hosts, data_centres in FLEETS:
        mean, most = measure_datagrams(hosts, data_centres)
        figures.append(f"{hosts} hosts: {mean:.0f}/s sent, relay {most:.0f}/s")
    print("; ".join(figures))


if __name__ == "__main__":
    main()
