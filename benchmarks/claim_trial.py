"""Random trials of the claim protocol on a hostile network.

Prints one line: how many trials ended with a key dispatched twice or with a
false "not run", and which part of fresh keys was dispatched.

    python -m benchmarks.claim_trial --trials 20000 --without discard
"""

import argparse
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.claim_cell import MOST_SKEW_MS, ClaimCell, Occupant
from benchmarks.claim_rules import REPLACEMENTS_BY_RULE, without
from figshunt.types import IdempotencyKey, RunOutcome

STEPS = 160
SEATS = 5
SETTLE_MS = 4_000
# Weight of each action in the random schedule.
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
MOST_CALLER_SKEW_MS = 1_500


@dataclass(frozen=True, slots=True)
class TrialResult:
    """What one trial showed."""

    faults: tuple[str, ...]
    fresh: int
    fresh_dispatched: int


class ClaimTrial:
    """One random schedule over one cell."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._cell = ClaimCell(SEATS, self._random)
        self._keys: list[IdempotencyKey] = []

    def choose_actions(self, steps: int = STEPS) -> list[str]:
        """Return a random schedule."""
        weights = list(WEIGHTS_BY_ACTION.values())
        return self._random.choices(list(WEIGHTS_BY_ACTION), weights, k=steps)

    def run(self, actions: Sequence[str]) -> TrialResult:
        """Run the schedule and return what it showed."""
        self._cell.start_all(MOST_SKEW_MS)
        self._cell.settle(SETTLE_MS)
        for action in actions:
            getattr(self, f"_{action}")()
            self._stop_replaced_cell()
        self._resume()
        self._heal()
        self._cell.deliver_all()
        self._cell.run_all()
        cell = self._cell
        dispatched = sum(cell.count_dispatches(key) > 0 for key in self._keys)
        return TrialResult(tuple(cell.faults), len(self._keys), dispatched)

    def _stop_replaced_cell(self) -> None:
        """Hold to the assumption that an empty cell has no living predecessor."""
        if not any(one.is_established for one in self._cell.latest_by_seat.values()):
            self._cell.kill_replaced()

    def _deliver(self) -> None:
        flights = self._cell.flights
        if flights:
            self._cell.deliver(flights.pop(self._random.randrange(len(flights))))

    def _deliver_oldest(self) -> None:
        for _ in range(self._random.randint(1, 8)):
            if self._cell.flights:
                self._cell.deliver(self._cell.flights.pop(0))

    def _drop(self) -> None:
        flights = self._cell.flights
        if flights:
            flights.pop(self._random.randrange(len(flights)))

    def _duplicate(self) -> None:
        if self._cell.flights:
            self._cell.flights.append(self._random.choice(self._cell.flights))

    def _advance(self) -> None:
        self._cell.advance(self._random.choice((1, 10, 60, 250, 600)))

    def _calm(self) -> None:
        self._cell.deliver_all()
        self._cell.advance(self._random.randint(600, 2_500))
        self._cell.deliver_all()

    def _pick(self) -> Occupant | None:
        running = [one for one in self._cell.occupants if one.paused_ms is None]
        return self._random.choice(running) if running else None

    def _submit(self, key: IdempotencyKey) -> None:
        occupant = self._pick()
        if occupant is not None:
            self._cell.submit(occupant, key)

    def _submit_fresh(self) -> None:
        skew_ms = self._random.randint(-MOST_CALLER_SKEW_MS, MOST_CALLER_SKEW_MS)
        key = self._cell.issue_key(skew_ms)
        self._keys.append(key)
        for _ in range(self._random.randint(1, 3)):
            self._submit(key)

    def _submit_again(self) -> None:
        if self._keys:
            self._submit(self._random.choice(self._keys[-4:]))

    def _race(self) -> None:
        """Send one fresh key to two hosts at once and run all that is admitted."""
        key = self._cell.issue_key()
        self._keys.append(key)
        self._submit(key)
        self._submit(key)
        self._random.shuffle(self._cell.flights)
        self._cell.deliver_all()
        self._cell.run_all()

    def _race_apart(self) -> None:
        """Send one fresh key to both sides of a split."""
        key = self._cell.issue_key()
        self._keys.append(key)
        self._part()
        for group in (0, 1):
            side = [one for one in self._cell.occupants if one.group == group]
            running = [one for one in side if one.paused_ms is None]
            if running:
                self._cell.submit(self._random.choice(running), key)
        self._cell.deliver_all()
        self._cell.run_all()
        self._heal()

    def _run(self) -> None:
        occupant = self._pick()
        if occupant is not None and occupant.queued:
            outcomes = (RunOutcome.RAN, RunOutcome.MAY_HAVE_RUN)
            self._cell.run(occupant, self._random.choice(outcomes))

    def _expire(self) -> None:
        occupant = self._pick()
        if occupant is not None and occupant.queued:
            self._cell.expire(occupant)

    def _restart(self) -> None:
        seat = self._random.randrange(SEATS)
        self._cell.kill(self._cell.latest_by_seat[self._cell.seats[seat]])
        self._cell.start(seat, self._random.randint(-MOST_SKEW_MS, MOST_SKEW_MS))

    def _restart_beside(self) -> None:
        seat = self._random.randrange(SEATS)
        if sum(one.seat == seat for one in self._cell.occupants) < 3:
            self._cell.start(seat, self._random.randint(-MOST_SKEW_MS, MOST_SKEW_MS))

    def _replace_unseen(self) -> None:
        """Replace an occupant that is cut off and comes back unaware of it."""
        seat = self._random.randrange(SEATS)
        replaced = self._cell.latest_by_seat[self._cell.seats[seat]]
        replaced.group = 1
        self._cell.start(seat, self._random.randint(-MOST_SKEW_MS, MOST_SKEW_MS))
        self._cell.settle(self._random.choice((600, 3_000)))
        replaced.group = 0
        self._race()

    def _join_by_few(self) -> None:
        """Start an occupant that first reaches only some others, old or new."""
        reached = self._random.sample(
            self._cell.occupants, min(SEATS, len(self._cell.occupants))
        )
        seat = self._random.randrange(SEATS)
        replaced = self._cell.latest_by_seat[self._cell.seats[seat]]
        self._cell.connect_only(*(one for one in reached if one is not replaced))
        joiner = self._cell.start(
            seat, self._random.randint(-MOST_SKEW_MS, MOST_SKEW_MS)
        )
        joiner.group = 0
        self._cell.settle(self._random.choice((600, 3_000)))
        self._heal()
        self._race_apart()

    def _restart_all(self) -> None:
        for occupant in tuple(self._cell.occupants):
            self._cell.kill(occupant)
        self._cell.start_all(MOST_SKEW_MS)
        if self._random.random() < 0.7:
            self._cell.settle(600)

    def _recover(self) -> None:
        """Raise the generation if a majority of the seats can't vote."""
        latest = self._cell.latest_by_seat.values()
        if sum(one.is_established for one in latest) > SEATS // 2:
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
        occupant = self._pick()
        if occupant is not None:
            self._cell.pause(occupant)

    def _resume(self) -> None:
        for occupant in self._cell.occupants:
            if occupant.paused_ms is not None:
                self._cell.resume(occupant, notice=self._random.random() < 0.5)

    def _part(self) -> None:
        for occupant in self._cell.occupants:
            occupant.group = self._random.randint(0, 1)

    def _heal(self) -> None:
        for occupant in self._cell.occupants:
            occupant.group = 0


def main() -> None:
    """Run the trials and print one line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--trials", type=int, default=20_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=STEPS)
    parser.add_argument(
        "--without", nargs="*", default=[], choices=sorted(REPLACEMENTS_BY_RULE)
    )
    arguments = parser.parse_args()
    started = time.perf_counter()
    twice = false_not_run = fresh = dispatched = 0
    first_seed = None
    with without(*arguments.without):
        for seed in range(arguments.seed, arguments.seed + arguments.trials):
            trial = ClaimTrial(seed)
            result = trial.run(trial.choose_actions(arguments.steps))
            has_double = any("twice" in fault for fault in result.faults)
            twice += has_double
            false_not_run += any("not run" in fault for fault in result.faults)
            first_seed = seed if result.faults and first_seed is None else first_seed
            fresh += result.fresh
            dispatched += result.fresh_dispatched
    print(
        f"trials={arguments.trials} first_seed={arguments.seed}"
        f" without={','.join(arguments.without) or 'nothing'}"
        f" double_claims={twice} false_not_run={false_not_run}"
        f" fault_seed={first_seed} fresh_keys={fresh}"
        f" availability={dispatched / max(1, fresh):.3f}"
        f" seconds={time.perf_counter() - started:.1f}"
    )


if __name__ == "__main__":
    main()
