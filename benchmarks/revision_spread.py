"""Propagation time of a table revision in a cell, and its CPU time by table size.

Run as ``python -m benchmarks.revision_spread``. The first part runs the control filters
of five daemons in virtual time with faults. The second part measures the CPU time that
one daemon spends on a revision with 10, 1,000 and 5,000 teams; decoding the JSON alone
is the baseline.
"""

import json
import statistics
import time
from collections.abc import Callable

from benchmarks.table_cost import build_table_texts
from figshunt.codec import (
    decode_document,
    decode_peer_message,
    encode_peer_message,
)
from figshunt.services import TableDecoder
from figshunt.tables import describe_difference
from figshunt.types import (
    RevisionNumber,
    SeatNumber,
    TableSourceKind,
    TablesReceived,
    TablesTransfer,
)
from tests.harness import VirtualCell

TEAM_COUNTS = (10, 1_000, 5_000)
RUN_COUNT = 50
REPETITIONS = 5
SEAT_0 = SeatNumber(0)
SETTLE_MS = 5_000
PROPAGATION_LIMIT_MS = 30_000


def _do_nothing(_cell: VirtualCell) -> None:
    return


def _isolate_reader(cell: VirtualCell) -> None:
    for other in cell.seats[1:]:
        cell.set_cut(SEAT_0, other, True)


FAULTS: dict[str, tuple[float, Callable[[VirtualCell], None]]] = {
    "none": (0.0, _do_nothing),
    "a fifth of messages lost": (0.2, _do_nothing),
    "reader killed": (0.0, lambda cell: cell.stop(SEAT_0)),
    "reader paused": (0.0, lambda cell: cell.pause(SEAT_0)),
    "reader cut off from peers": (0.0, _isolate_reader),
    "reader's service down": (0.0, lambda cell: cell.seats_without_service.add(SEAT_0)),
}


def measure_spread(name: str) -> list[int]:
    """Return the sorted propagation times in milliseconds, one for each seed.

    A time runs from publishing until the revision is in force at all daemons except the
    table reader in seat 0, where the faults are injected.
    """
    loss, inject_fault = FAULTS[name]
    times_ms = []
    for seed in range(RUN_COUNT):
        cell = VirtualCell(seed, 5, loss)
        cell.publish(1)
        cell.start_all()
        cell.run(SETTLE_MS + 37 * seed)
        inject_fault(cell)
        published_ms = cell.now_ms
        cell.publish(2)
        cell.run(PROPAGATION_LIMIT_MS)
        other_daemons = [
            daemon for seat, daemon in cell.daemons.items() if seat != SEAT_0
        ]
        times_ms.append(
            max(daemon.in_force_ms[2] for daemon in other_daemons) - published_ms
        )
    return sorted(times_ms)


def measure_cost(teams: int) -> dict[str, float]:
    """Return the median CPU time in milliseconds of each part of one revision.

    The result also holds the size of the texts in bytes as ``text_bytes``.
    """
    routes, pools = build_table_texts(teams)
    newer_document = json.loads(routes) | {"revision": 2}
    newer_document["teams"] = [
        team | {"weight": 2.0} for team in newer_document["teams"]
    ]
    decoded_messages = []
    times_ms_by_part: dict[str, list[float]] = {}

    def measure_part(name: str, call: Callable[[], object]) -> None:
        started_s = time.process_time()
        call()
        times_ms_by_part.setdefault(name, []).append(
            (time.process_time() - started_s) * 1_000
        )

    newer_routes = json.dumps(newer_document)
    newer_pools = json.dumps(json.loads(pools) | {"revision": 2})
    for _ in range(REPETITIONS):
        measure_part(
            "json", lambda: [decode_document(text) for text in (routes, pools)]
        )
        decoder = TableDecoder()
        source = TableSourceKind.SERVICE
        for routes_text, pools_text in ((routes, pools), (newer_routes, newer_pools)):
            measure_part(
                "decode_and_check",
                lambda: decoded_messages.append(
                    decoder.decode(routes_text, pools_text, source, "s")
                ),
            )
        before, after = decoded_messages[-2:]
        assert isinstance(before, TablesReceived) and isinstance(after, TablesReceived)
        measure_part(
            "difference", lambda: describe_difference(before.tables, after.tables)
        )
        transfer = TablesTransfer(RevisionNumber(2), newer_routes, newer_pools)
        data = encode_peer_message(transfer)
        measure_part("encode_transfer", lambda: encode_peer_message(transfer))
        measure_part("decode_transfer", lambda: decode_peer_message(data))
    costs_ms = {
        name: statistics.median(values) for name, values in times_ms_by_part.items()
    }
    return costs_ms | {"text_bytes": float(len(newer_routes) + len(newer_pools))}


def main() -> None:
    """Print one line of figures for each fault and each number of teams."""
    for name in FAULTS:
        times_ms = measure_spread(name)
        print(
            f"fault={name!r} runs={RUN_COUNT} median_ms={times_ms[RUN_COUNT // 2]}"
            f" worst_ms={times_ms[-1]}"
        )
    for teams in TEAM_COUNTS:
        costs_ms = measure_cost(teams)
        total_ms = sum(costs_ms[name] for name in ("decode_and_check", "difference"))
        total_ms += costs_ms["decode_transfer"] + costs_ms["encode_transfer"]
        part_figures = " ".join(
            f"{name}={value:.2f}" for name, value in costs_ms.items()
        )
        print(
            f"teams={teams} {part_figures} total_ms={total_ms:.2f}"
            f" ratio_to_json={total_ms / costs_ms['json']:.1f}"
        )


if __name__ == "__main__":
    main()
