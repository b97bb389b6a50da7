"""CPU time of one claim, summed over all seats, and its peer messages.

The baseline, measured in the same run, is a request on an idempotent route, which
needs no claim.

    python -m benchmarks.claim_cost --claims 5000
"""

import argparse
import random
import time

from benchmarks.claim_cell import ClaimCell
from figshunt.codec import decode_peer_message, encode_peer_message

ESTABLISHMENT_TIME_MS = 3_000
REQUEST_INTERVAL_MS = 1
REPETITIONS = 5


def build_cell(seats: int) -> ClaimCell:
    """Return a cell whose seats are established and grant fresh keys."""
    cell = ClaimCell(seats, random.Random(1))
    cell.start_all()
    cell.settle(ESTABLISHMENT_TIME_MS)
    return cell


def measure_claims(cell: ClaimCell, claims: int) -> float:
    """Return the CPU time in seconds of claiming fresh keys one after the other."""
    claimant = cell.occupants[0]
    started_s = time.process_time()
    for _ in range(claims):
        cell.submit(claimant, cell.issue_key())
        cell.deliver_all()
        cell.dispatch_next(claimant)
        cell.advance(REQUEST_INTERVAL_MS)
    return time.process_time() - started_s


def measure_baseline(cell: ClaimCell, requests: int) -> float:
    """Return the CPU time in seconds of ``requests`` requests that need no claim."""
    claimant = cell.occupants[0]
    started_s = time.process_time()
    for _ in range(requests):
        cell.submit(claimant, cell.issue_key(), idempotent=True)
        cell.dispatch_next(claimant)
        cell.advance(REQUEST_INTERVAL_MS)
    return time.process_time() - started_s


def measure_codec(cell: ClaimCell, repetitions: int) -> tuple[float, int]:
    """Return the codec time in seconds and the encoded size of one claim."""
    cell.submit(cell.occupants[0], cell.issue_key())
    requests = [in_flight.message for in_flight in cell.messages_in_flight]
    cell.messages_in_flight, undelivered = [], cell.messages_in_flight
    for in_flight in undelivered:
        cell.deliver(in_flight)
    messages = requests + [in_flight.message for in_flight in cell.messages_in_flight]
    started_s = time.process_time()
    for _ in range(repetitions):
        encoded = [encode_peer_message(message) for message in messages]
        for data in encoded:
            decode_peer_message(data)
    codec_s = (time.process_time() - started_s) / repetitions
    return codec_s, sum(len(data) for data in encoded)


def main() -> None:
    """Print one line of figures for each number of seats."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--claims", type=int, default=5_000)
    claims = parser.parse_args().claims
    for seats in (1, 5):
        claim_s, baseline_s, messages = [], [], 0
        for _ in range(REPETITIONS):
            cell = build_cell(seats)
            previous_count = cell.messages_sent
            claim_s.append(measure_claims(cell, claims))
            messages = cell.messages_sent - previous_count
            baseline_s.append(measure_baseline(build_cell(seats), claims))
        claim_us = min(claim_s) / claims * 1e6
        baseline_us = min(baseline_s) / claims * 1e6
        codec_s, byte_count = measure_codec(build_cell(seats), claims // 10)
        print(
            f"seats={seats} claims={claims} messages_per_claim={messages / claims:.2f}"
            f" bytes_per_claim={byte_count} cpu_us_per_claim_all_seats={claim_us:.0f}"
            f" baseline_us={baseline_us:.0f} ratio={claim_us / baseline_us:.1f}"
            f" encoding_us_per_claim={codec_s * 1e6:.0f}"
        )


if __name__ == "__main__":
    main()
