"""Keeps the ends of runs that may turn out to be crashes of their runners."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from figshunt.dispatch.admission._suspect import Suspect
from figshunt.types import RunnerId


class RunEnd(Enum):
    """How a run ended whose runner may have crashed.

    ``LOST``: the connection was lost. ``GIVEN_UP``: this host ended the attempt.
    ``UNDELIMITED``: the answer ended with its connection, so that it seems complete
    also if the runner crashed.
    """

    LOST = "lost"
    GIVEN_UP = "given_up"
    UNDELIMITED = "undelimited"


# Ends after which an answer of the runner proves that it has survived the run, and
# ends that are no result of a runner's silence.
ANSWERED_ENDS = (RunEnd.LOST, RunEnd.UNDELIMITED)

# How long after the end of a run it counts for a crash of its runner. The store may
# be unavailable when a connection is lost, and its entries may be the only evidence
# of the crash. Most runners stop work on a request when its connection is closed.
MAX_AGE_MS_BY_END = {
    RunEnd.LOST: 30_000,
    RunEnd.GIVEN_UP: 5_000,
    RunEnd.UNDELIMITED: 5_000,
}

MAX_RUNS = 512


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that has ended, ``end`` being set if its runner may not have survived it.

    ``process`` identifies the runner's process, which may have been replaced by
    another one with the same id since.
    """

    suspects: tuple[Suspect, ...]
    runner_id: RunnerId
    process: str
    end: RunEnd | None
    started_ms: int
    ended_ms: int


class EndedRuns:
    """The latest ended runs, ``MAX_RUNS`` of each kind; older ones are dropped."""

    def __init__(self) -> None:
        self._runs_by_end: dict[RunEnd, deque[EndedRun]] = {
            end: deque(maxlen=MAX_RUNS) for end in RunEnd
        }

    def add(self, run: EndedRun) -> None:
        """Keep a run with an open end."""
        assert run.end is not None
        self._runs_by_end[run.end].append(run)

    def runner_ids(self) -> set[RunnerId]:
        """Return the runners of all runs."""
        return {run.runner_id for runs in self._runs_by_end.values() for run in runs}

    def take_crashed(
        self, runner_id: RunnerId, now_ms: int, ends: Iterable[RunEnd] = RunEnd
    ) -> list[EndedRun]:
        """Remove the runs of a runner that has crashed, and return those that count.

        Runs that the host had given up count if none was lost with the runner.

        :param ends: the ends of runs to which the evidence of the crash applies.
        """
        runs = [
            run
            for run in self._take_ended(runner_id, now_ms, ends)
            if run.end and now_ms - run.ended_ms <= MAX_AGE_MS_BY_END[run.end]
        ]
        if any(run.end is RunEnd.LOST for run in runs):
            return [run for run in runs if run.end is not RunEnd.GIVEN_UP]
        return runs

    def take_survived(self, runner_id: RunnerId, since_ms: int) -> list[EndedRun]:
        """Remove and return the runs that the runner has survived.

        A run that the host gave up may still crash it.

        :param since_ms: when a request arrived that the runner has answered.
        """
        return self._take_ended(runner_id, since_ms, ANSWERED_ENDS)

    def take_expired(self, now_ms: int) -> list[EndedRun]:
        """Remove and return the runs that don't count any more."""
        expired_runs = []
        for end, runs in self._runs_by_end.items():
            while runs and now_ms - runs[0].ended_ms > MAX_AGE_MS_BY_END[end]:
                expired_runs.append(runs.popleft())
        return expired_runs

    def _take_ended(
        self, runner_id: RunnerId, before_ms: int, ends: Iterable[RunEnd]
    ) -> list[EndedRun]:
        taken_runs = []
        for end in ends:
            runs = self._runs_by_end[end]
            taken = [
                run
                for run in runs
                if run.runner_id == runner_id and run.ended_ms <= before_ms
            ]
            if taken:
                kept = (run for run in runs if run not in taken)
                self._runs_by_end[end] = deque(kept, MAX_RUNS)
                taken_runs += taken
        return taken_runs
