"""Random trials of the claim protocol on an unreliable network.

Prints one line: the number of trials in which a key was dispatched twice or a
false "not run" was answered, and the fraction of fresh keys that was dispatched.

    python -m benchmarks.claim_trial --trials 20000 --without discard
"""

import argparse
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.claim_cell import MAX_CLOCK_SKEW_MS, ClaimCell, Occupant
from benchmarks.claim_rules import REPLACEMENTS_BY_RULE, disable_rules
from figshunt.types import IdempotencyKey, RunOutcome

STEP_COUNT = 160
SEAT_COUNT = 5
SETTLE_MS = 4_000
# Weight of each action in the random schedule. ``ClaimTrial`` has a method with the
# name of each action after an underscore.
WEIGHTS_BY_ACTION = {
    "deliver": 60,
    "deliver_oldest": 40,
    "drop": 1,
    "duplicate": 3,
    "advance": 8,
    "calm": 4,
    "submit_fresh": 8,
    "submit_again": 6,
    "race": 3,
    "race_apart": 2,
    "run": 10,
    "expire": 2,
    "restart": 0.7,
    "restart_beside": 1,
    "replace_unseen": 2,
    "join_by_few": 1,
    "pause": 1,
    "resume": 3,
    "part": 1,
    "heal": 2,
    "restart_all": 0.5,
    "recover": 2,
}
MAX_CALLER_SKEW_MS = 1_500


@dataclass(frozen=True, slots=True)
class TrialResult:
    """Faults of one trial and the number of fresh keys issued and dispatched."""

    faults: tuple[str, ...]
    fresh_key_count: int
    dispatched_key_count: int


class ClaimTrial:
    """Runs a schedule of actions on one simulated cell."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._cell = ClaimCell(SEAT_COUNT, self._random)
        self._keys: list[IdempotencyKey] = []

    def choose_actions(self, steps: int = STEP_COUNT) -> list[str]:
        """Return a random schedule of ``steps`` actions."""
        weights = list(WEIGHTS_BY_ACTION.values())
        return self._random.choices(list(WEIGHTS_BY_ACTION), weights, k=steps)

    def run(self, actions: Sequence[str]) -> TrialResult:
        """Run the schedule, restore the network and return the result.

        Requests that are still queued are dispatched before the result is taken.
        """
        self._cell.start_all(MAX_CLOCK_SKEW_MS)
        self._cell.settle(SETTLE_MS)
        for action in actions:
            getattr(self, f"_{action}")()
            self._kill_predecessors_of_empty_cell()
        self._resume()
        self._heal()
        self._cell.deliver_all()
        self._cell.dispatch_all()
        cell = self._cell
        dispatched_key_count = sum(cell.count_dispatches(key) > 0 for key in self._keys)
        return TrialResult(tuple(cell.faults), len(self._keys), dispatched_key_count)

    def _kill_predecessors_of_empty_cell(self) -> None:
        """Kill replaced occupants if none of the latest ones is established.

        The protocol assumes that no daemon of an earlier cell is still running when
        a cell starts without state.
        """
        if not any(
            occupant.is_established for occupant in self._cell.latest_by_seat.values()
        ):
            self._cell.kill_replaced()

    def _deliver(self) -> None:
        in_flight = self._cell.messages_in_flight
        if in_flight:
            self._cell.deliver(in_flight.pop(self._random.randrange(len(in_flight))))

    def _deliver_oldest(self) -> None:
        for _ in range(self._random.randint(1, 8)):
            if self._cell.messages_in_flight:
                self._cell.deliver(self._cell.messages_in_flight.pop(0))

    def _drop(self) -> None:
        in_flight = self._cell.messages_in_flight
        if in_flight:
            in_flight.pop(self._random.randrange(len(in_flight)))

    def _duplicate(self) -> None:
        if self._cell.messages_in_flight:
            self._cell.messages_in_flight.append(
                self._random.choice(self._cell.messages_in_flight)
            )

    def _advance(self) -> None:
        self._cell.advance(self._random.choice((1, 10, 60, 250, 600)))

    def _calm(self) -> None:
        self._cell.deliver_all()
        self._cell.advance(self._random.randint(600, 2_500))
        self._cell.deliver_all()

    def _choose_running_occupant(self) -> Occupant | None:
        running_occupants = [
            occupant
            for occupant in self._cell.occupants
            if occupant.paused_at_ms is None
        ]
        return self._random.choice(running_occupants) if running_occupants else None

    def _submit(self, key: IdempotencyKey) -> None:
        occupant = self._choose_running_occupant()
        if occupant is not None:
            self._cell.submit(occupant, key)

    def _submit_fresh(self) -> None:
        skew_ms = self._random.randint(-MAX_CALLER_SKEW_MS, MAX_CALLER_SKEW_MS)
        key = self._cell.issue_key(skew_ms)
        self._keys.append(key)
        for _ in range(self._random.randint(1, 3)):
            self._submit(key)

    def _submit_again(self) -> None:
        if self._keys:
            self._submit(self._random.choice(self._keys[-4:]))

    def _race(self) -> None:
        """Submit a fresh key to two random occupants and dispatch what is admitted."""
        key = self._cell.issue_key()
        self._keys.append(key)
        self._submit(key)
        self._submit(key)
        self._random.shuffle(self._cell.messages_in_flight)
        self._cell.deliver_all()
        self._cell.dispatch_all()

    def _race_apart(self) -> None:
        """Submit a fresh key on both sides of a network partition."""
        key = self._cell.issue_key()
        self._keys.append(key)
        self._part()
        for group in (0, 1):
            group_occupants = [
                occupant
                for occupant in self._cell.occupants
                if occupant.partition_group == group
            ]
            running_occupants = [
                occupant
                for occupant in group_occupants
                if occupant.paused_at_ms is None
            ]
            if running_occupants:
                self._cell.submit(self._random.choice(running_occupants), key)
        self._cell.deliver_all()
        self._cell.dispatch_all()
        self._heal()

    def _run(self) -> None:
        occupant = self._choose_running_occupant()
        if occupant is not None and occupant.queued_requests:
            outcomes = (RunOutcome.RAN, RunOutcome.MAY_HAVE_RUN)
            self._cell.dispatch_next(occupant, self._random.choice(outcomes))

    def _expire(self) -> None:
        occupant = self._choose_running_occupant()
        if occupant is not None and occupant.queued_requests:
            self._cell.expire_next(occupant)

    def _restart(self) -> None:
        seat = self._random.randrange(SEAT_COUNT)
        self._cell.kill(self._cell.latest_by_seat[self._cell.seats[seat]])
        self._cell.start(
            seat, self._random.randint(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS)
        )

    def _restart_beside(self) -> None:
        """Start an occupant next to those of its seat, up to three in all."""
        seat = self._random.randrange(SEAT_COUNT)
        if sum(occupant.seat == seat for occupant in self._cell.occupants) < 3:
            self._cell.start(
                seat, self._random.randint(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS)
            )

    def _replace_unseen(self) -> None:
        """Replace an isolated occupant, then reconnect it.

        The replaced occupant has received no message about its successor.
        """
        seat = self._random.randrange(SEAT_COUNT)
        replaced_occupant = self._cell.latest_by_seat[self._cell.seats[seat]]
        replaced_occupant.partition_group = 1
        self._cell.start(
            seat, self._random.randint(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS)
        )
        self._cell.settle(self._random.choice((600, 3_000)))
        replaced_occupant.partition_group = 0
        self._race()

    def _join_by_few(self) -> None:
        """Start an occupant that at first reaches only a random sample of occupants.

        The sample may contain replaced occupants.
        """
        reachable_occupants = self._random.sample(
            self._cell.occupants, min(SEAT_COUNT, len(self._cell.occupants))
        )
        seat = self._random.randrange(SEAT_COUNT)
        replaced_occupant = self._cell.latest_by_seat[self._cell.seats[seat]]
        self._cell.connect_only(
            *(
                occupant
                for occupant in reachable_occupants
                if occupant is not replaced_occupant
            )
        )
        joiner = self._cell.start(
            seat, self._random.randint(-MAX_CLOCK_SKEW_MS, MAX_CLOCK_SKEW_MS)
        )
        joiner.partition_group = 0
        self._cell.settle(self._random.choice((600, 3_000)))
        self._heal()
        self._race_apart()

    def _restart_all(self) -> None:
        for occupant in tuple(self._cell.occupants):
            self._cell.kill(occupant)
        self._cell.start_all(MAX_CLOCK_SKEW_MS)
        if self._random.random() < 0.7:
            self._cell.settle(600)

    def _recover(self) -> None:
        """Start a new generation if no majority of the seats is established."""
        latest_occupants = self._cell.latest_by_seat.values()
        if (
            sum(occupant.is_established for occupant in latest_occupants)
            > SEAT_COUNT // 2
        ):
            return
        self._cell.kill_replaced()
        self._cell.generation += 1
        for occupant in self._random.sample(
            self._cell.occupants, len(self._cell.occupants)
        ):
            self._cell.enter_generation(occupant)
            self._deliver_oldest()
        self._resume()
        self._heal()
        self._calm()

    def _pause(self) -> None:
        occupant = self._choose_running_occupant()
        if occupant is not None:
            self._cell.pause(occupant)

    def _resume(self) -> None:
        for occupant in self._cell.occupants:
            if occupant.paused_at_ms is not None:
                self._cell.resume(occupant, detects_pause=self._random.random() < 0.5)

    def _part(self) -> None:
        """Assign each occupant to one of two sides of a network partition."""
        for occupant in self._cell.occupants:
            occupant.partition_group = self._random.randint(0, 1)

    def _heal(self) -> None:
        for occupant in self._cell.occupants:
            occupant.partition_group = 0


def main() -> None:
    """Run the trials and print one line of figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--trials", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEP_COUNT)
    parser.add_argument(
        "--without", nargs="*", default=[], choices=sorted(REPLACEMENTS_BY_RULE)
    )
    arguments = parser.parse_args()
    started_s = time.perf_counter()
    double_claims = false_not_run = fresh_keys = dispatched_keys = 0
    first_seed = None
    with disable_rules(*arguments.without):
        for seed in range(arguments.seed, arguments.seed + arguments.trials):
            trial = ClaimTrial(seed)
            result = trial.run(trial.choose_actions(arguments.steps))
            has_double_claim = any("twice" in fault for fault in result.faults)
            double_claims += has_double_claim
            false_not_run += any("not run" in fault for fault in result.faults)
            first_seed = seed if result.faults and first_seed is None else first_seed
            fresh_keys += result.fresh_key_count
            dispatched_keys += result.dispatched_key_count
    print(
        f"trials={arguments.trials} first_seed={arguments.seed}"
        f" without={','.join(arguments.without) or 'nothing'}"
        f" double_claims={double_claims} false_not_run={false_not_run}"
        f" fault_seed={first_seed} fresh_keys={fresh_keys}"
        f" availability={dispatched_keys / max(1, fresh_keys):.3f}"
        f" seconds={time.perf_counter() - started_s:.1f}"
    )


if __name__ == "__main__":
    main()
