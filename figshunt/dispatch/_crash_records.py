"""Records which contents and prompt parts were running at crashed runners."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from figshunt.dispatch._call import Call
from figshunt.types import Fingerprint

# A content is refused after it was running during this many runner crashes. One
# crash may be caused by another request, but two crashes with the same content
# are very unlikely to be.
CONTENT_CRASHES = 2

# A prompt part that many requests share may well be running during two crashes. Of
# crashes closer together than this only one counts, as runners may have lost power
# together.
PART_CRASHES = 3
PART_CRASH_INTERVAL_MS = 400

# Crashes remembered for each content or part; further ones change nothing.
MAX_CRASHES = 16

# Callers retry such a request within minutes.
QUARANTINE_MS = 600_000

MAX_SUSPECTS = 4_096
MAX_QUARANTINED = 1_024


class SuspectKind(Enum):
    """What crashed runners have in common."""

    CONTENT = "content"
    PART = "part"


@dataclass(frozen=True, slots=True)
class Suspect:
    """The content of a request, or a part of its prompt, by its fingerprint."""

    kind: SuspectKind
    fingerprint: Fingerprint


def list_suspects(call: Call) -> list[Suspect]:
    """Return the content of a call and the prompt parts that others may share.

    The last part of a prompt belongs to the request or its session alone.
    """
    parts = call.prompt.parts[:-1] if call.prompt else ()
    return [
        Suspect(SuspectKind.CONTENT, call.fingerprint),
        *(Suspect(SuspectKind.PART, Fingerprint(part.part_id)) for part in parts),
    ]


@dataclass(slots=True)
class CrashRecord:
    """The times of the runner crashes during which a suspect was running."""

    times_ms_by_crash: dict[str, int] = field(default_factory=dict)

    def count_separate(self, interval_ms: int, crashes: Iterable[str]) -> int:
        """Return how many of these crashes are that far apart."""
        count = 0
        last_ms: int | None = None
        for time_ms in sorted(self.times_ms_by_crash[crash] for crash in crashes):
            if last_ms is None or time_ms - last_ms >= interval_ms:
                count += 1
                last_ms = time_ms
        return count


class CrashRecords:
    """Decides which contents and prompt parts are refused.

    A content or part is cleared by each request with it that is served completely, as
    one that crashes runners lets none succeed. Crashes that a refused part explains
    are not enough to refuse another one. The times of the last successes are kept for
    ``MAX_SUSPECTS`` suspects; those that succeeded least recently are dropped first.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[Suspect, CrashRecord] = OrderedDict()
        self._served_ms: OrderedDict[Suspect, int] = OrderedDict()
        self._quarantined_ms: OrderedDict[Suspect, int] = OrderedDict()

    def record_crash(self, suspect: Suspect, crash: str, time_ms: int) -> bool:
        """Record a crash and return whether the suspect has to be quarantined."""
        record = self._records.setdefault(suspect, CrashRecord())
        self._records.move_to_end(suspect)
        while len(self._records) > MAX_SUSPECTS:
            self._records.popitem(last=False)
        if len(record.times_ms_by_crash) < MAX_CRASHES:
            record.times_ms_by_crash.setdefault(crash, time_ms)
        if suspect in self._quarantined_ms:
            return False
        if suspect.kind is SuspectKind.CONTENT:
            return len(record.times_ms_by_crash) >= CONTENT_CRASHES
        return self._count_part_crashes(record) >= PART_CRASHES

    def record_success(self, suspects: Iterable[Suspect], now_ms: int) -> list[Suspect]:
        """Record that a request was served; return the suspects that this clears."""
        suspects = list(suspects)
        for suspect in suspects:
            self._served_ms[suspect] = now_ms
            self._served_ms.move_to_end(suspect)
        while len(self._served_ms) > MAX_SUSPECTS:
            self._served_ms.popitem(last=False)
        return self.clear(suspects)

    def in_order_of_suspicion(self, suspects: Iterable[Suspect]) -> list[Suspect]:
        """Return suspects of one crash, the one that explains the most crashes first.

        Of those that were running in as many crashes, one that has never succeeded is
        judged before one that has, and a later part of the prompt before an earlier
        one, which more requests share.

        :param suspects: in the order in which they stand in a request.
        """
        return sorted(
            reversed(list(suspects)),
            key=lambda suspect: (
                -self._count_crashes(suspect),
                self._served_ms.get(suspect, -1),
            ),
        )

    def _count_crashes(self, suspect: Suspect) -> int:
        record = self._records.get(suspect)
        return len(record.times_ms_by_crash) if record else 0

    def quarantine(self, suspect: Suspect, now_ms: int) -> bool:
        """Refuse a suspect from now on and return whether that is new."""
        is_new = not self.is_quarantined(suspect, now_ms)
        self._quarantined_ms.pop(suspect, None)
        self._quarantined_ms[suspect] = now_ms
        while len(self._quarantined_ms) > MAX_QUARANTINED:
            self._quarantined_ms.popitem(last=False)
        return is_new

    def is_quarantined(self, suspect: Suspect, now_ms: int) -> bool:
        """Return whether a suspect is refused."""
        since_ms = self._quarantined_ms.get(suspect)
        return since_ms is not None and now_ms - since_ms < QUARANTINE_MS

    def quarantined(self, now_ms: int) -> tuple[Suspect, ...]:
        """Return all suspects that are refused."""
        return tuple(
            suspect
            for suspect in self._quarantined_ms
            if self.is_quarantined(suspect, now_ms)
        )

    def crashes(self, suspect: Suspect) -> tuple[str, ...]:
        """Return the known crashes during which a suspect was running."""
        record = self._records.get(suspect)
        return tuple(record.times_ms_by_crash) if record else ()

    def find_explained(self, cause: Suspect) -> list[Suspect]:
        """Return the refused parts whose crashes are a part of those of ``cause``."""
        cause_crashes = self._crashes(cause)
        return [
            suspect
            for suspect in self._quarantined_ms
            if suspect.kind is SuspectKind.PART
            and self._crashes(suspect)
            and self._crashes(suspect) < cause_crashes
        ]

    def clear(self, suspects: Iterable[Suspect]) -> list[Suspect]:
        """Drop what is known of the suspects, and return those that were known."""
        cleared = [
            suspect
            for suspect in suspects
            if suspect in self._records or suspect in self._quarantined_ms
        ]
        for suspect in cleared:
            self._records.pop(suspect, None)
            self._quarantined_ms.pop(suspect, None)
        return cleared

    def _count_part_crashes(self, record: CrashRecord) -> int:
        crashes = record.times_ms_by_crash.keys()
        explained = {
            crash
            for suspect in self._quarantined_ms
            if suspect.kind is SuspectKind.PART
            for crash in self._crashes(suspect) & crashes
        }
        unexplained_count = record.count_separate(
            PART_CRASH_INTERVAL_MS, crashes - explained
        )
        explained_count = record.count_separate(PART_CRASH_INTERVAL_MS, explained)
        return unexplained_count + min(PART_CRASHES - 1, explained_count)

    def _crashes(self, suspect: Suspect) -> set[str]:
        record = self._records.get(suspect)
        return set(record.times_ms_by_crash) if record else set()
