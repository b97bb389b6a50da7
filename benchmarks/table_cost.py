"""Memory and decoding time of the tables by the number of teams.

Run as ``python -m benchmarks.table_cost``. Prints one line for each number of teams and
the increase per team between the smallest and the largest number.
"""

import gc
import hashlib
import json
import time
import tracemalloc

from figshunt.codec import decode_tables
from figshunt.tables import Tables

TEAM_COUNTS = (10, 1_000, 10_000, 37_000)


def build_table_texts(teams: int) -> tuple[str, str]:
    """Return the texts of the routes and the pools document with ``teams`` teams."""
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
    """Return the size of the texts, the decoding time in ms and the memory in bytes."""
    texts = build_table_texts(teams)
    started_s = time.process_time()
    decode_tables(*texts)
    decode_ms = (time.process_time() - started_s) * 1000
    gc.collect()
    tracemalloc.start()
    bytes_before, _ = tracemalloc.get_traced_memory()
    tables: Tables | None = decode_tables(*texts).tables
    gc.collect()
    bytes_after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert tables is not None
    return sum(map(len, texts)), decode_ms, bytes_after - bytes_before


def main() -> None:
    """Print one line of figures for each number of teams and one for the increase."""
    results = [(teams, *measure(teams)) for teams in TEAM_COUNTS]
    for teams, text_bytes, decode_ms, held_bytes in results:
        print(
            f"teams={teams} text_bytes={text_bytes} decode_ms={decode_ms:.1f}"
            f" held_bytes={held_bytes}"
        )
    smallest_result, largest_result = results[0], results[-1]
    added_teams = largest_result[0] - smallest_result[0]
    print(
        f"per_team text_bytes="
        f"{(largest_result[1] - smallest_result[1]) / added_teams:.0f}"
        f" decode_us="
        f"{1000 * (largest_result[2] - smallest_result[2]) / added_teams:.1f}"
        f" held_bytes={(largest_result[3] - smallest_result[3]) / added_teams:.0f}"
    )


if __name__ == "__main__":
    main()
