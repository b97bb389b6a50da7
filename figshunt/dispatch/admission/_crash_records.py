"""Decides which contents and prompt parts crash runners."""

from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from figshunt.dispatch._call import Call
from figshunt.dispatch._messages import CrashAge, SuspectReport
from figshunt.dispatch.admission._suspect import Suspect, SuspectKind
from figshunt.dispatch.admission._suspect_record import (
    CRASHES_BY_KIND,
    MAX_CRASHES,
    MAX_EARLIER_SUCCESSES,
    SuspectRecord,
    Witness,
    is_worth_telling,
)
from figshunt.types import Fingerprint

# The records of suspects that crashed runners least recently are dropped first, as
# are the successes of those that were served least recently.
MAX_SUSPECTS = 4_096

# Records that are told to a host that knows less, those with the most crashes first.
MAX_TOLD_SUSPECTS = 40

# Crashes that are told to a host that starts even if they refuse nothing yet.
RECENT_CRASH_MS = 60_000


def list_suspects(call: Call) -> list[Suspect]:
    """Return the content of a call and the prompt parts that others may share.

    The last part of a prompt belongs to the request or its session alone.
    """
    parts = call.prompt.parts[:-1] if call.prompt else ()
    return [
        Suspect(SuspectKind.CONTENT, call.fingerprint),
        *(Suspect(SuspectKind.PART, Fingerprint(part.part_id)) for part in parts),
    ]


class CrashRecords:
    """Owns the records of all suspects and decides which of them are refused.

    Suspects are judged in order: first those that crashed the largest share of their
    runners, which are those that were never served, then those with more crashes, then
    contents before parts and later parts before earlier ones, which more requests
    share. A crash that a refused suspect explains doesn't count against those judged
    after it. Contents with equally many crashes are judged alike, as any of them may be
    the cause and refusing each one harms a single caller.
    """

    def __init__(self, witness: Witness) -> None:
        self._witness = witness
        self._records: OrderedDict[Suspect, SuspectRecord] = OrderedDict()
        self._successes: OrderedDict[Suspect, int] = OrderedDict()
        self._refused: set[Suspect] = set()
        self.digest = 0

    def get(self, suspect: Suspect) -> SuspectRecord | None:
        """Return the record of a suspect, or ``None`` if it ran during no crash."""
        return self._records.get(suspect)

    def is_refused(self, suspect: Suspect) -> bool:
        """Return whether a suspect is refused."""
        return suspect in self._refused

    def record_crash(
        self, suspect: Suspect, depth: int, crash: str, time_ms: int
    ) -> None:
        """Record that a suspect was running during a crash."""
        self._find_or_add(suspect, depth).add_crash(crash, time_ms)

    def merge(self, report: SuspectReport, witness: Witness, now_ms: int) -> None:
        """Add what another host knows."""
        if not report.crashes:
            return
        record = self._find_or_add(report.suspect, report.depth)
        for crash in report.crashes:
            record.add_crash(crash.process, now_ms - crash.age_ms)
        known_successes = record.successes_by_witness.get(witness, 0)
        record.successes_by_witness[witness] = max(known_successes, report.successes)
        record.earlier_successes = max(
            record.earlier_successes, report.earlier_successes
        )
        told_trial_ms = (
            None if report.trial_age_ms is None else now_ms - report.trial_age_ms
        )
        ended_trials = report.passed_trials + report.failed_trials
        if ended_trials > record.ended_trials:
            record.trial_ms = told_trial_ms
        elif ended_trials == record.ended_trials and told_trial_ms is not None:
            record.trial_ms = max(record.trial_ms or told_trial_ms, told_trial_ms)
        record.passed_trials = max(record.passed_trials, report.passed_trials)
        record.failed_trials = max(record.failed_trials, report.failed_trials)

    def record_success(
        self, suspects: Iterable[Suspect], started_ms: int
    ) -> list[Suspect]:
        """Record that a request was served.

        :param started_ms: when it was sent to its runner.
        :returns: the suspects whose successes other hosts need to know.
        """
        told_suspects = []
        for suspect in suspects:
            self._successes[suspect] = self._successes.get(suspect, 0) + 1
            self._successes.move_to_end(suspect)
            record = self._records.get(suspect)
            if record is not None and started_ms >= record.first_crash_ms:
                own_successes = record.successes_by_witness.get(self._witness, 0) + 1
                record.successes_by_witness[self._witness] = own_successes
                if is_worth_telling(own_successes):
                    told_suspects.append(suspect)
        while len(self._successes) > MAX_SUSPECTS:
            self._successes.popitem(last=False)
        return told_suspects

    def judge(self) -> tuple[list[Suspect], list[Suspect]]:
        """Decide again which suspects are refused.

        :returns: those that are refused from now on, and those that aren't any more.
        """
        candidates = self._candidates()
        explained: set[str] = set()
        explained_by_group: set[str] = set()
        refused_contents: list[SuspectRecord] = []
        refused: set[Suspect] = set()
        previous_rank: tuple[float, int, bool] | None = None
        for suspect, record in candidates:
            is_content = suspect.kind is SuspectKind.CONTENT
            rank = (record.crash_share, record.count(), is_content)
            if rank != previous_rank or not is_content:
                explained |= explained_by_group
                explained_by_group = set()
            previous_rank = rank
            is_better_cause = not is_content and record.is_better_cause_than(
                refused_contents
            )
            if record.judge(() if is_better_cause else explained):
                refused.add(suspect)
                explained_by_group |= record.times_ms_by_crash.keys()
                if is_content:
                    refused_contents.append(record)
        self._update_digest(candidates)
        previous, self._refused = self._refused, refused
        return sorted_by_name(refused - previous), sorted_by_name(previous - refused)

    def report(self, suspect: Suspect, now_ms: int) -> SuspectReport:
        """Return what this host knows of a suspect that has a record."""
        record = self._records[suspect]
        return SuspectReport(
            suspect,
            record.depth,
            tuple(
                CrashAge(crash, now_ms - time_ms)
                for crash, time_ms in record.times_ms_by_crash.items()
            ),
            record.successes_by_witness.get(self._witness, 0),
            record.earlier_successes,
            record.passed_trials,
            record.failed_trials,
            None if record.trial_ms is None else now_ms - record.trial_ms,
        )

    def report_all(self, now_ms: int) -> tuple[SuspectReport, ...]:
        """Return what a host should know that has missed crashes."""
        known = [
            (suspect, record)
            for suspect, record in self._records.items()
            if suspect in self._refused
            or record.count() >= CRASHES_BY_KIND[suspect.kind]
            or now_ms - record.last_crash_ms <= RECENT_CRASH_MS
        ]
        known.sort(key=lambda entry: (entry[0] not in self._refused, -entry[1].count()))
        return tuple(
            self.report(suspect, now_ms) for suspect, _ in known[:MAX_TOLD_SUSPECTS]
        )

    def _find_or_add(self, suspect: Suspect, depth: int) -> SuspectRecord:
        record = self._records.get(suspect)
        if record is None:
            record = SuspectRecord(suspect.kind, depth)
            record.earlier_successes = min(
                MAX_EARLIER_SUCCESSES, self._successes.get(suspect, 0)
            )
            self._records[suspect] = record
        self._records.move_to_end(suspect)
        while len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
        return record

    def _candidates(self) -> list[tuple[Suspect, SuspectRecord]]:
        """Return the suspects with enough crashes, in the order of judgement."""
        return sorted(
            (
                (suspect, record)
                for suspect, record in self._records.items()
                if len(record.times_ms_by_crash) >= CRASHES_BY_KIND[suspect.kind]
            ),
            key=lambda entry: (
                -entry[1].crash_share,
                -entry[1].count(),
                entry[0].kind is SuspectKind.PART,
                -entry[1].depth,
                entry[0].fingerprint,
            ),
        )

    def _update_digest(
        self, candidates: Iterable[tuple[Suspect, SuspectRecord]]
    ) -> None:
        """Compute a value that is equal at hosts which know the same facts."""
        digest = xxhash.xxh3_64()
        is_empty = True
        for suspect, record in sorted(
            candidates, key=lambda entry: entry[0].fingerprint
        ):
            is_empty = False
            crashes = sorted(record.times_ms_by_crash)
            if len(crashes) >= MAX_CRASHES:
                crashes = ["full"]
            digest.update(
                repr(
                    (
                        suspect.fingerprint,
                        crashes,
                        record.passed_trials,
                        record.failed_trials,
                    )
                ).encode()
            )
        self.digest = 0 if is_empty else digest.intdigest()


def sorted_by_name(suspects: Iterable[Suspect]) -> list[Suspect]:
    """Return suspects in an order that doesn't change from run to run."""
    return sorted(suspects, key=lambda suspect: suspect.fingerprint)
