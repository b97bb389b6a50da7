"""The facts that hosts know of one suspect, which they merge with those of others."""

from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NewType

from figshunt.dispatch.admission._suspect import SuspectKind

# A process of a host, by which its successes are told from those of others.
Witness = NewType("Witness", str)

# A suspect is refused after so many crashes. One crash may have been caused by another
# request, but a content is very unlikely to run during two crashes by chance. A prompt
# part that many requests share may well do.
CRASHES_BY_KIND = {SuspectKind.CONTENT: 2, SuspectKind.PART: 3}

# A content that was never served is refused after this many crashes, whatever else may
# explain them, as refusing it harms a single caller.
UNSERVED_CONTENT_CRASHES = 3

# Of crashes with a prompt part that are closer together only one counts, as the
# runners may have lost power together.
PART_CRASH_INTERVAL_MS = 400

# Crashes that are remembered for each suspect; further ones change nothing.
MAX_CRASHES = 16

# Evidence for a suspect grows with its successes, which many requests bring to a part.
SUCCESS_FACTOR_BY_KIND = {SuspectKind.CONTENT: 4, SuspectKind.PART: 2}

# A part that crashed this share of its runs is probably a cause. If this many contents
# would have to explain its crashes, it explains them better.
PROBABLE_CRASH_SHARE = 0.25
MAX_CONTENT_CAUSES = 4

# How long after the last crash a suspect is tried. Each failed trial leads to the next
# of these delays, so that trials crash few runners in all. So does each crash that was
# not needed to refuse a probable cause, and each trial that was passed beside failed
# ones. A content counts as one, as it concerns few callers, even more so if it was
# never served.
TRIAL_DELAYS_MS_BY_KIND = {
    SuspectKind.CONTENT: (8_000, 64_000, 512_000, 4_096_000),
    SuspectKind.PART: (1_000, 2_000, 64_000, 512_000, 4_096_000),
}

# Successes before the first crash that count for a suspect. What was sound until now
# may begin to crash runners, so that they must not outweigh many crashes.
MAX_EARLIER_SUCCESSES = 24

# A trial without a result within this time counts as none.
TRIAL_TIMEOUT_MS = 20_000


def needed_successes(kind: SuspectKind, extra_crashes: int) -> int:
    """Return how many successes outweigh crashes beyond those that refuse a suspect.

    The number grows with the square, so that what crashes only some of its runners is
    refused after a few crashes, and what many requests share isn't for crashes by
    chance.
    """
    return (SUCCESS_FACTOR_BY_KIND[kind] * extra_crashes + 1) ** 2


def needed_trials(extra_crashes: int) -> int:
    """Return how many trials have to be passed in all, one more after each crash."""
    return (extra_crashes + 1) * (extra_crashes + 2) // 2


def is_worth_telling(successes: int) -> bool:
    """Return whether other hosts are told of this success; few of many are."""
    return successes & (successes - 1) == 0


@dataclass(slots=True)
class SuspectRecord:
    """The crashes, successes and trials of a suspect.

    All are facts that only grow. Hosts merge them by union and maximum, so that it
    doesn't matter how often and in which order they are told. ``depth`` is the place
    of a part in its prompt. Each host counts the requests with the suspect that it saw
    served since the first crash; ``earlier_successes`` is the largest count of a host
    before that, up to ``MAX_EARLIER_SUCCESSES``.
    ``trial_ms`` is the start of the latest trial, unless that was passed.
    ``charged_crashes`` is the result of the last judgement: how many crashes no other
    suspect explains.
    """

    kind: SuspectKind
    depth: int = 0
    times_ms_by_crash: dict[str, int] = field(default_factory=dict)
    successes_by_witness: dict[Witness, int] = field(default_factory=dict)
    earlier_successes: int = 0
    passed_trials: int = 0
    failed_trials: int = 0
    trial_ms: int | None = None
    charged_crashes: int = 0

    def add_crash(self, crash: str, time_ms: int) -> bool:
        """Record a crash and return whether it is news."""
        if crash in self.times_ms_by_crash:
            return False
        if len(self.times_ms_by_crash) >= MAX_CRASHES:
            return False
        self.times_ms_by_crash[crash] = time_ms
        return True

    @property
    def first_crash_ms(self) -> int:
        """Return the time of the first crash."""
        return min(self.times_ms_by_crash.values(), default=0)

    @property
    def last_crash_ms(self) -> int:
        """Return the time of the last crash."""
        return max(self.times_ms_by_crash.values(), default=0)

    @property
    def successes(self) -> int:
        """Return how many requests with the suspect were served, at least."""
        return self.earlier_successes + sum(self.successes_by_witness.values())

    @property
    def ended_trials(self) -> int:
        """Return how many trials had a result."""
        return self.passed_trials + self.failed_trials

    def count(self, explained: Collection[str] = ()) -> int:
        """Return how many crashes count, without those that others explain."""
        times_ms = sorted(
            time_ms
            for crash, time_ms in self.times_ms_by_crash.items()
            if crash not in explained
        )
        if self.kind is SuspectKind.CONTENT:
            return len(times_ms)
        count = 0
        last_ms: int | None = None
        for time_ms in times_ms:
            if last_ms is None or time_ms - last_ms >= PART_CRASH_INTERVAL_MS:
                count += 1
                last_ms = time_ms
        return count

    @property
    def crash_share(self) -> float:
        """Return the share of runs that ended with a crash."""
        crashes = self.count()
        return crashes / (crashes + self.successes)

    def is_better_cause_than(self, others: Collection["SuspectRecord"]) -> bool:
        """Return whether this part explains its crashes better than so many others."""
        crashes = self.times_ms_by_crash.keys()
        causes = [other for other in others if crashes & other.times_ms_by_crash.keys()]
        return (
            len(causes) >= MAX_CONTENT_CAUSES
            and self.crash_share >= PROBABLE_CRASH_SHARE
        )

    def judge(self, explained: Collection[str]) -> bool:
        """Return whether the crashes that others don't explain outweigh the rest."""
        is_unserved_content = (
            self.kind is SuspectKind.CONTENT
            and not self.successes
            and len(self.times_ms_by_crash) >= UNSERVED_CONTENT_CRASHES
        )
        self.charged_crashes = self.count(() if is_unserved_content else explained)
        extra_crashes = self.charged_crashes - CRASHES_BY_KIND[self.kind]
        return (
            extra_crashes >= 0
            and self.successes < needed_successes(self.kind, extra_crashes)
            and self.passed_trials < needed_trials(extra_crashes)
        )

    def next_trial_ms(self) -> int:
        """Return when the suspect may be tried again."""
        is_content = self.kind is SuspectKind.CONTENT
        reasons = self.failed_trials
        if is_content or self.crash_share >= PROBABLE_CRASH_SHARE:
            reasons += max(0, self.charged_crashes - CRASHES_BY_KIND[self.kind])
            if is_content or self.failed_trials:
                reasons += self.passed_trials
        if is_content and not self.successes:
            reasons += 1
        delays_ms = TRIAL_DELAYS_MS_BY_KIND[self.kind]
        delay_ms = delays_ms[min(reasons, len(delays_ms) - 1)]
        due_ms = self.last_crash_ms + delay_ms
        if self.trial_ms is not None and self.trial_ms >= self.last_crash_ms:
            due_ms = max(due_ms, self.trial_ms + max(delay_ms, TRIAL_TIMEOUT_MS))
        return due_ms
