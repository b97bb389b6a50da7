"""Memory and decoding time of the tables by number of teams.

Run as ``python -m benchmarks.table_cost``. Prints one line for each size and
the slope between the smallest and the largest.
"""

import gc
import hashlib
import json
import time
import tracemalloc

from figshunt.codec import decode_tables
from figshunt.tables import Tables

SIZES = (10, 1_000, 10_000, 37_000)


def build_texts(teams: int) -> tuple[str, str]:
    """Return both documents with so many teams, as published."""
    routes = {
        "revision": 1,
        "routes": [
            {
                "name": "chat",
                "pool": "engines",
                "tier": 2,
                "latency_target_ms": 450,
                "idempotent": True,
                "deadline_ms": 20_000,
            }
        ],
        "teams": [
            {
                "name": f"team-{number:06d}",
                "key_sha256": hashlib.sha256(str(number).encode()).hexdigest(),
                "weight": 1.0,
            }
            for number in range(teams)
        ],
    }
    runner = {"id": "r", "url": "http://127.0.0.1:1", "data_centre": "accra-1"}
    pools = {
        "revision": 1,
        "data_centres": [{"name": "accra-1", "state": "in"}],
        "pools": [
            {
                "name": "engines",
                "kind": "engine",
                "limit": 16,
                "cold_limit": 2,
                "runners": [runner],
            }
        ],
    }
    return json.dumps(routes), json.dumps(pools)


def measure(teams: int) -> tuple[int, float, int]:
    """Return text bytes, milliseconds to decode, and bytes held."""
    texts = build_texts(teams)
    started = time.process_time()
    decode_tables(*texts)
    decode_ms = (time.process_time() - started) * 1000
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    tables: Tables | None = decode_tables(*texts).tables
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert tables is not None
    return sum(map(len, texts)), decode_ms, after - before


def main() -> None:
    """Print one line for each size."""
    results = [(teams, *measure(teams)) for teams in SIZES]
    for teams, text_bytes, decode_ms, held_bytes in results:
        print(
            f"teams={teams} text_bytes={text_bytes} decode_ms={decode_ms:.1f}"
            f" held_bytes={held_bytes}"
        )
    first, last = results[0], results[-1]
    teams_between = last[0] - first[0]
    print(
        f"per_team text_bytes={(last[1] - first[1]) / teams_between:.0f}"
        f" decode_us={1000 * (last[2] - first[2]) / teams_between:.1f}"
        f" held_bytes={(last[3] - first[3]) / teams_between:.0f}"
    )


if __name__ == "__main__":
    main()
