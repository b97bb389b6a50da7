"""Estimates of run time and output length, learned per class and team."""

from collections import OrderedDict

from figshunt.policy._decayed_histogram import DecayedHistogram
from figshunt.types import AttemptEnded, Moment, RoutedRequest, RouteName, TeamName

MAX_TEAM_RECORDS = 1_024
MAX_CLASS_RECORDS = 256
MIN_SAMPLES = 5
MAX_ESTIMATE_AGE_MS = 10_000
DEFAULT_RUN_MS = 1_000
DEFAULT_FIRST_TOKEN_MS = 50
# Limits the default run time to a fraction of the time limit of the route.
DEFAULT_RUN_DIVISOR = 4
MIN_REMAINING_FRACTION = 0.1

RecordKey = tuple[RouteName, TeamName | None]


class ServiceRecord:
    """Measurements of one class, or of one team's requests in a class."""

    __slots__ = ("run_ms", "first_token_ms", "tokens", "last_completed_ms")

    def __init__(self) -> None:
        self.run_ms = DecayedHistogram()
        self.first_token_ms = DecayedHistogram()
        self.tokens = DecayedHistogram()
        self.last_completed_ms = 0


class ServiceEstimates:
    """Estimates the run time and output length of a request from earlier ones.

    Uses the record of the team in the class if it has at least ``MIN_SAMPLES``
    complete answers, else that of the class if it has as many, else defaults.
    Keeps at most ``MAX_TEAM_RECORDS`` records of teams and
    ``MAX_CLASS_RECORDS`` of classes; the least recently updated are evicted.
    """

    def __init__(self) -> None:
        self._team_records: OrderedDict[RecordKey, ServiceRecord] = OrderedDict()
        self._class_records: OrderedDict[RecordKey, ServiceRecord] = OrderedDict()

    def record_attempt(self, attempt: AttemptEnded, now: Moment) -> None:
        """Add the measurements of an attempt.

        The run time and output length are only taken from an attempt that
        completed its answer. If it resumed an answer, its slot time is scaled
        up to the full output.
        """
        routed = attempt.routed
        slot_ms = now.monotonic_ms - attempt.started_ms
        for records, key, max_records in (
            (self._team_records, (routed.route.name, routed.team), MAX_TEAM_RECORDS),
            (self._class_records, (routed.route.name, None), MAX_CLASS_RECORDS),
        ):
            record = _touch_record(records, key, max_records)
            if attempt.first_token_ms is not None:
                record.first_token_ms.add(attempt.first_token_ms)
            if attempt.failure is None:
                tokens = routed.resume_offset + attempt.tokens
                fraction = attempt.tokens / tokens if tokens and attempt.tokens else 1.0
                record.run_ms.add(slot_ms / fraction)
                record.tokens.add(tokens)
                record.last_completed_ms = now.monotonic_ms

    def run_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected slot time of the request's remaining work, at least 1."""
        record = self._find_record(routed)
        full_run_ms = record.run_ms.quantile(0.5) if record else None
        if full_run_ms is None:
            route = routed.route
            full_run_ms = min(DEFAULT_RUN_MS, route.max_run_ms / DEFAULT_RUN_DIVISOR)
        return max(1, int(full_run_ms * self._remaining_fraction(routed, record)))

    def first_token_ms(self, routed: RoutedRequest, now: Moment) -> int:
        """Return the expected time from the start of an attempt to its first token."""
        record = self._find_record(routed)
        expected_ms = record.first_token_ms.quantile(0.5) if record else None
        return int(expected_ms) if expected_ms is not None else DEFAULT_FIRST_TOKEN_MS

    def tokens(self, routed: RoutedRequest) -> int | None:
        """Return the expected length of the complete output, if one is known."""
        record = self._find_record(routed)
        expected_tokens = record.tokens.quantile(0.5) if record else None
        return int(expected_tokens) if expected_tokens is not None else None

    def has_recent_samples(self, routed: RoutedRequest, now: Moment) -> bool:
        """Return whether the class's estimate includes a recently completed request.

        A refusal must not be based on an older estimate: while all requests
        are refused, no new measurements come in and the estimate can't recover.
        """
        record = self._class_records.get((routed.route.name, None))
        if record is None or record.run_ms.count < MIN_SAMPLES:
            return False
        return now.monotonic_ms - record.last_completed_ms <= MAX_ESTIMATE_AGE_MS

    def _remaining_fraction(
        self, routed: RoutedRequest, record: ServiceRecord | None
    ) -> float:
        tokens = record.tokens.quantile(0.5) if record else None
        if not routed.resume_offset or not tokens:
            return 1.0
        return max(MIN_REMAINING_FRACTION, 1 - routed.resume_offset / tokens)

    def _find_record(self, routed: RoutedRequest) -> ServiceRecord | None:
        for records, key in (
            (self._team_records, (routed.route.name, routed.team)),
            (self._class_records, (routed.route.name, None)),
        ):
            record = records.get(key)
            if record is not None and record.run_ms.count >= MIN_SAMPLES:
                return record
        return None


def _touch_record(
    records: OrderedDict[RecordKey, ServiceRecord], key: RecordKey, max_records: int
) -> ServiceRecord:
    record = records.setdefault(key, ServiceRecord())
    records.move_to_end(key)
    if len(records) > max_records:
        records.popitem(last=False)
    return record
