"""What one claim costs: processor time over all seats, and peer messages.

The baseline in the same run is a request on an idempotent route, which passes
the claimant without a claim.

    python -m benchmarks.claim_cost --claims 5000
"""

import argparse
import random
import time

from benchmarks.claim_cell import ClaimCell
from figshunt.codec import decode_peer_message, encode_peer_message

JOINED_MS = 3_000
HELD_MS = 1
REPEATS = 5


def build_cell(seats: int) -> ClaimCell:
    """Return a founded cell that grants fresh keys."""
    cell = ClaimCell(seats, random.Random(1))
    cell.start_all()
    cell.settle(JOINED_MS)
    return cell


def measure_claims(cell: ClaimCell, claims: int) -> float:
    """Claim fresh keys one after the other; return processor time in s."""
    first = cell.occupants[0]
    started = time.process_time()
    for _ in range(claims):
        cell.submit(first, cell.issue_key())
        cell.deliver_all()
        cell.run(first)
        cell.advance(HELD_MS)
    return time.process_time() - started


def measure_baseline(cell: ClaimCell, requests: int) -> float:
    """Let idempotent requests pass; return processor time in s."""
    first = cell.occupants[0]
    started = time.process_time()
    for _ in range(requests):
        cell.submit(first, cell.issue_key(), idempotent=True)
        cell.run(first)
        cell.advance(HELD_MS)
    return time.process_time() - started


def measure_encoding(cell: ClaimCell, rounds: int) -> tuple[float, int]:
    """Return processor time in s and bytes of the messages of one claim."""
    cell.submit(cell.occupants[0], cell.issue_key())
    requests = [flight.message for flight in cell.flights]
    cell.flights, held = [], cell.flights
    for flight in held:
        cell.deliver(flight)
    messages = requests + [flight.message for flight in cell.flights]
    started = time.process_time()
    for _ in range(rounds):
        encoded = [encode_peer_message(message) for message in messages]
        for data in encoded:
            decode_peer_message(data)
    spent = (time.process_time() - started) / rounds
    return spent, sum(len(data) for data in encoded)


def main() -> None:
    """Measure and print one line for each size of cell."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--claims", type=int, default=5_000)
    claims = parser.parse_args().claims
    for seats in (1, 5):
        claim_s, base_s, sent = [], [], 0
        for _ in range(REPEATS):
            cell = build_cell(seats)
            sent_before = cell.messages_sent
            claim_s.append(measure_claims(cell, claims))
            sent = cell.messages_sent - sent_before
            base_s.append(measure_baseline(build_cell(seats), claims))
        claim_us = min(claim_s) / claims * 1e6
        base_us = min(base_s) / claims * 1e6
        encoding_s, size = measure_encoding(build_cell(seats), claims // 10)
        print(
            f"seats={seats} claims={claims} messages_per_claim={sent / claims:.2f}"
            f" bytes_per_claim={size} cpu_us_per_claim_all_seats={claim_us:.0f}"
            f" baseline_us={base_us:.0f} ratio={claim_us / base_us:.1f}"
            f" encoding_us_per_claim={encoding_s * 1e6:.0f}"
        )


if __name__ == "__main__":
    main()
