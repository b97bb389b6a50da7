"""Service time and output length, learned by class and team."""

from collections import OrderedDict

from figshunt.policy._decayed_histogram import DecayedHistogram
from figshunt.types import AttemptEnded, Moment, RoutedRequest, RouteName, TeamName

MOST_TEAM_RECORDS = 1_024
MOST_CLASS_RECORDS = 256
LEAST_VALUES = 5
FRESH_MS = 10_000
DEFAULT_RUN_MS = 1_000
DEFAULT_FIRST_TOKEN_MS = 50
LARGEST_DEFAULT_PART = 4
LEAST_PART_LEFT = 0.1

RecordKey = tuple[RouteName, TeamName | None]


class ServiceRecord:
    """What was learned of one class, or of one team in a class."""

    __slots__ = ("run_ms", "first_token_ms", "tokens", "learned_ms")

    def __init__(self) -> None:
        self.run_ms = DecayedHistogram()
        self.first_token_ms = DecayedHistogram()
        self.tokens = DecayedHistogram()
        self.learned_ms = 0


class ServiceEstimates:
    """Estimates of a request from its team's past, else its class's, else a default.

    Holds at most ``MOST_TEAM_RECORDS`` teams and ``MOST_CLASS_RECORDS``
    classes; the ones that learned least recently are evicted.
    """

    def __init__(self) -> None:
        self._teams: OrderedDict[RecordKey, ServiceRecord] = OrderedDict()
        self._classes: OrderedDict[RecordKey, ServiceRecord] = OrderedDict()

    def learn(self, ended: AttemptEnded, now: Moment) -> None:
        """Learn from an attempt; only a whole answer tells the run time."""
        routed = ended.routed
        slot_ms = now.monotonic_ms - ended.started_ms
        for records, key, most in (
            (self._teams, (routed.route.name, routed.team), MOST_TEAM_RECORDS),
            (self._classes, (routed.route.name, None), MOST_CLASS_RECORDS),
        ):
            record = _touch(records, key, most)
            if ended.first_token_ms is not None:
                record.first_token_ms.add(ended.first_token_ms)
            if ended.failure is None:
                tokens = routed.resume_offset + ended.tokens
                part = ended.tokens / tokens if tokens and ended.tokens else 1.0
                record.run_ms.add(slot_ms / part)
                record.tokens.add(tokens)
                record.learned_ms = now.monotonic_ms

    def run_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected slot time of what is left of the request, at least 1."""
        record = self._record(routed)
        whole_ms = record.run_ms.quantile(0.5) if record else None
        if whole_ms is None:
            route = routed.route
            whole_ms = min(DEFAULT_RUN_MS, route.max_run_ms / LARGEST_DEFAULT_PART)
        return max(1, int(whole_ms * self._part_left(routed, record)))

    def first_token_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected time from the start of an attempt to its first token."""
        record = self._record(routed)
        expected = record.first_token_ms.quantile(0.5) if record else None
        return int(expected) if expected is not None else DEFAULT_FIRST_TOKEN_MS

    def tokens(self, routed: RoutedRequest) -> int | None:
        """Return the expected length of the whole output, if any was seen."""
        record = self._record(routed)
        expected = record.tokens.quantile(0.5) if record else None
        return int(expected) if expected is not None else None

    def is_fresh(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether the class finished a request recently.

        A refusal must not rest on an older estimate: while all requests are
        refused, nothing new is learned.
        """
        record = self._classes.get((routed.route.name, None))
        if record is None or record.run_ms.count < LEAST_VALUES:
            return False
        return now.monotonic_ms - record.learned_ms <= FRESH_MS

    def _part_left(self, routed: RoutedRequest, record: ServiceRecord | None) -> float:
        tokens = record.tokens.quantile(0.5) if record else None
        if not routed.resume_offset or not tokens:
            return 1.0
        return max(LEAST_PART_LEFT, 1 - routed.resume_offset / tokens)

    def _record(self, routed: RoutedRequest) -> ServiceRecord | None:
        for records, key in (
            (self._teams, (routed.route.name, routed.team)),
            (self._classes, (routed.route.name, None)),
        ):
            record = records.get(key)
            if record is not None and record.run_ms.count >= LEAST_VALUES:
                return record
        return None


def _touch(
    records: OrderedDict[RecordKey, ServiceRecord], key: RecordKey, most: int
) -> ServiceRecord:
    record = records.setdefault(key, ServiceRecord())
    records.move_to_end(key)
    if len(records) > most:
        records.popitem(last=False)
    return record
