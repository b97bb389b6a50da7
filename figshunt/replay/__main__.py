"""``python -m figshunt.replay``: generates the trace files in ``traces/``."""

import sys
from collections.abc import Callable
from pathlib import Path

import defopt

from figshunt.replay import (
    Workload,
    adomako_monday,
    generate_header,
    generate_requests,
    timberline_storm,
    write_trace,
)

TRACES_DIRECTORY = Path("traces")


def generate_adomako_monday(*, seed: int = 7, output: Path | None = None) -> None:
    """Generate the trace of the Monday reminder run.

    :param seed: seed of the random number generators.
    :param output: file to write; defaults to traces/adomako-monday.jsonl.
    """
    _generate(adomako_monday, seed, output)


def generate_timberline_storm(*, seed: int = 7, output: Path | None = None) -> None:
    """Generate the trace of the storm morning.

    :param seed: seed of the random number generators.
    :param output: file to write; defaults to traces/timberline-storm.jsonl.
    """
    _generate(timberline_storm, seed, output)


def _generate(
    build_workload: Callable[[], Workload], seed: int, output: Path | None
) -> None:
    workload = build_workload()
    path = output or TRACES_DIRECTORY / f"{workload.name}.jsonl"
    requests = generate_requests(workload, seed)
    count = write_trace(path, generate_header(workload, seed), requests)
    print(f"{path}: {count} requests")


if __name__ == "__main__":
    sys.exit(
        defopt.run(
            {
                "adomako-monday": generate_adomako_monday,
                "timberline-storm": generate_timberline_storm,
            }
        )
    )
