"""Time until a revision is in force in a cell, and its cost by table size.

Run as ``python -m benchmarks.revision_spread``. The first part runs the
control filters of five daemons in virtual time with faults; the second
measures the processor time that one daemon spends on one revision of 10,
1,000 and 5,000 teams, against decoding the JSON alone as the baseline.
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
    TablesOffered,
    TableSourceKind,
    TablesTransfer,
)
from tests.harness import VirtualCell

TEAM_COUNTS = (10, 1_000, 5_000)
RUNS = 50
REPEATS = 5
SEAT_0 = SeatNumber(0)
SETTLED_MS = 5_000
LIMIT_MS = 30_000


def _do_nothing(_cell: VirtualCell) -> None:
    return


def _cut_off_reader(cell: VirtualCell) -> None:
    for other in cell.seats[1:]:
        cell.set_cut(SEAT_0, other, True)


FAULTS: dict[str, tuple[float, Callable[[VirtualCell], None]]] = {
    "none": (0.0, _do_nothing),
    "a fifth of messages lost": (0.2, _do_nothing),
    "reader killed": (0.0, lambda cell: cell.stop(SEAT_0)),
    "reader paused": (0.0, lambda cell: cell.pause(SEAT_0)),
    "reader cut off from peers": (0.0, _cut_off_reader),
    "reader's service down": (0.0, lambda cell: cell.down.add(SEAT_0)),
}


def measure_spread(name: str) -> list[int]:
    """Return milliseconds from publishing to in force at all other daemons."""
    loss, break_cell = FAULTS[name]
    times_ms = []
    for seed in range(RUNS):
        cell = VirtualCell(seed, 5, loss)
        cell.publish(1)
        cell.start_all()
        cell.run(SETTLED_MS + 37 * seed)
        break_cell(cell)
        published_ms = cell.now_ms
        cell.publish(2)
        cell.run(LIMIT_MS)
        others = [one for seat, one in cell.daemons.items() if seat != SEAT_0]
        times_ms.append(max(one.in_force_ms[2] for one in others) - published_ms)
    return sorted(times_ms)


def measure_cost(teams: int) -> dict[str, float]:
    """Return milliseconds of processor time for each part of one revision."""
    routes, pools = build_table_texts(teams)
    newer = json.loads(routes) | {"revision": 2}
    newer["teams"] = [one | {"weight": 2.0} for one in newer["teams"]]
    offered = []
    parts: dict[str, list[float]] = {}

    def timed(name: str, call: Callable[[], object]) -> None:
        started = time.process_time()
        call()
        parts.setdefault(name, []).append((time.process_time() - started) * 1_000)

    text = json.dumps(newer)
    newer_pools = json.dumps(json.loads(pools) | {"revision": 2})
    for _ in range(REPEATS):
        timed("json", lambda: [decode_document(one) for one in (routes, pools)])
        decoder = TableDecoder()
        source = TableSourceKind.SERVICE
        for one, other in ((routes, pools), (text, newer_pools)):
            timed(
                "decode_and_check",
                lambda: offered.append(decoder.decode(one, other, source, "s")),
            )
        before, after = offered[-2:]
        assert isinstance(before, TablesOffered) and isinstance(after, TablesOffered)
        timed("difference", lambda: describe_difference(before.tables, after.tables))
        transfer = TablesTransfer(RevisionNumber(2), text, newer_pools)
        data = encode_peer_message(transfer)
        timed("encode_transfer", lambda: encode_peer_message(transfer))
        timed("decode_transfer", lambda: decode_peer_message(data))
    costs = {name: statistics.median(values) for name, values in parts.items()}
    return costs | {"text_bytes": float(len(text) + len(newer_pools))}


def main() -> None:
    """Print one line for each fault and each size."""
    for name in FAULTS:
        times_ms = measure_spread(name)
        print(
            f"fault={name!r} runs={RUNS} median_ms={times_ms[RUNS // 2]}"
            f" worst_ms={times_ms[-1]}"
        )
    for teams in TEAM_COUNTS:
        costs = measure_cost(teams)
        total = sum(costs[name] for name in ("decode_and_check", "difference"))
        total += costs["decode_transfer"] + costs["encode_transfer"]
        listed = " ".join(f"{name}={value:.2f}" for name, value in costs.items())
        print(
            f"teams={teams} {listed} total_ms={total:.2f}"
            f" ratio_to_json={total / costs['json']:.1f}"
        )


if __name__ == "__main__":
    main()
