"""Checks the ids of a stream's events, which mark where the stream can be resumed."""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._messages import ReplyEvent
from figshunt.types import PoolName, RunnerId

# Ids with which a stream may begin before the numbering of its pool is known.
USUAL_FIRST_IDS = frozenset({0, 1})

# After so many streams in a row that differ from the known numbering of its pool, a
# runner may have changed its numbering.
MAX_DEVIATIONS = 3

# What the streams of a runner have shown counts for this long.
SHOWN_MS = 60_000


class EventVerdict(Enum):
    """What is to be done with an event.

    A ``HELD`` event is forwarded once the next one confirms its place in the stream.
    An ``INVALID`` one must not be forwarded, nor the held one before it.
    """

    EXPECTED = "expected"
    HELD = "held"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class StreamNumbering:
    """How the runners of a pool number the events of their streams.

    Each event has data and an id, and ids are consecutive from ``first_id``.
    """

    first_id: int


class PoolNumbering:
    """What the streams of each runner of a pool have shown of their numbering lately.

    A runner shows it by a complete stream, until its streams deviate several times in a
    row. What most runners show holds for the pool. A runner in trouble thus says
    nothing about the others: the numbering is unknown only once more runners deviate
    from it than show it.
    """

    def __init__(self) -> None:
        self._first_ids_by_runner: dict[RunnerId, int] = {}
        self._deviations_by_runner: dict[RunnerId, int] = {}
        self._shown_ms_by_runner: dict[RunnerId, int] = {}
        self.current: StreamNumbering | None = None

    def record_complete(self, runner_id: RunnerId, first_id: int, now_ms: int) -> None:
        """Record a complete stream of a runner with consecutive ids."""
        self._forget_old(now_ms)
        self._shown_ms_by_runner[runner_id] = now_ms
        self._deviations_by_runner.pop(runner_id, None)
        self._first_ids_by_runner[runner_id] = first_id
        self._decide()

    def record_deviation(self, runner_id: RunnerId, now_ms: int) -> None:
        """Record a stream of a runner that differs from the known numbering."""
        if self.current is None:
            return
        self._forget_old(now_ms)
        self._shown_ms_by_runner[runner_id] = now_ms
        deviations = self._deviations_by_runner.get(runner_id, 0) + 1
        self._deviations_by_runner[runner_id] = deviations
        if deviations >= MAX_DEVIATIONS:
            self._first_ids_by_runner.pop(runner_id, None)
            self._decide()

    def _forget_old(self, now_ms: int) -> None:
        """Forget runners without a stream for some time, which may be gone."""
        for runner_id, shown_ms in tuple(self._shown_ms_by_runner.items()):
            if now_ms - shown_ms > SHOWN_MS:
                del self._shown_ms_by_runner[runner_id]
                self._first_ids_by_runner.pop(runner_id, None)
                self._deviations_by_runner.pop(runner_id, None)

    def _decide(self) -> None:
        """Compute the numbering of the pool from what its runners show."""
        deviating = sum(
            deviations >= MAX_DEVIATIONS
            for deviations in self._deviations_by_runner.values()
        )
        runners_by_first_id = Counter(self._first_ids_by_runner.values())
        if deviating > runners_by_first_id.total():
            self.current = None
        elif runners_by_first_id:
            ((first_id, _),) = runners_by_first_id.most_common(1)
            self.current = StreamNumbering(first_id)


class StreamNumberings:
    """The numberings that complete streams have shown, one per pool of engines."""

    def __init__(self) -> None:
        self._numberings_by_pool: dict[PoolName, PoolNumbering] = {}

    def get(self, pool: PoolName) -> StreamNumbering | None:
        """Return the numbering of a pool, or ``None`` if it isn't known."""
        numbering = self._numberings_by_pool.get(pool)
        return None if numbering is None else numbering.current

    def record_complete(
        self, pool: PoolName, runner_id: RunnerId, first_id: int, now_ms: int
    ) -> None:
        """Record a complete stream of one runner with consecutive ids."""
        numbering = self._numberings_by_pool.setdefault(pool, PoolNumbering())
        numbering.record_complete(runner_id, first_id, now_ms)

    def record_deviation(
        self, pool: PoolName, runner_id: RunnerId, now_ms: int
    ) -> None:
        """Record a stream of one runner that differs from its pool's numbering."""
        numbering = self._numberings_by_pool.get(pool)
        if numbering is not None:
            numbering.record_deviation(runner_id, now_ms)


def judge_event(
    event: ReplyEvent,
    routed: RoutedCall,
    held_event: ReplyEvent | None,
    numbering: StreamNumbering | None,
) -> EventVerdict:
    """Return what is to be done with the next event of a resumable stream.

    :param held_event: the event before, if it was held.
    :param numbering: the numbering of the runner's pool, if it is known.
    """
    if held_event is not None:
        return _judge_after_held(event, routed, held_event)
    if numbering is not None:
        expected_id = _next_id(routed)
        if expected_id is None:
            expected_id = numbering.first_id
        is_expected = event.event_id == expected_id and event.has_data
        return EventVerdict.EXPECTED if is_expected else EventVerdict.INVALID
    return _judge_unknown_numbering(event, routed)


def _judge_unknown_numbering(event: ReplyEvent, routed: RoutedCall) -> EventVerdict:
    if event.event_id is None:
        if routed.has_unnumbered_events:
            return EventVerdict.EXPECTED
        return EventVerdict.HELD
    next_id = _next_id(routed)
    if next_id is None:
        is_usual = event.event_id in USUAL_FIRST_IDS
        return EventVerdict.EXPECTED if is_usual else EventVerdict.HELD
    if event.event_id == next_id:
        return EventVerdict.EXPECTED
    if event.event_id < next_id or routed.has_consecutive_ids:
        return EventVerdict.INVALID
    if routed.has_consecutive_ids is None:
        return EventVerdict.HELD
    return EventVerdict.EXPECTED


def _judge_after_held(
    event: ReplyEvent, routed: RoutedCall, held_event: ReplyEvent
) -> EventVerdict:
    """Return whether an event confirms the place of the held one.

    An event without an id stands between two with consecutive ids, or in a stream
    without ids. One with an id has to be followed by a higher id.
    """
    if held_event.event_id is None:
        is_confirmed = event.event_id is None or event.event_id == _next_id(routed)
    else:
        is_confirmed = (
            event.event_id is not None and event.event_id > held_event.event_id
        )
    return EventVerdict.EXPECTED if is_confirmed else EventVerdict.INVALID


def _next_id(routed: RoutedCall) -> int | None:
    """Return the id after the last event that the caller has, if there is one."""
    last_id = routed.last_event_id
    if last_id is None:
        last_id = routed.call.resume_after
    return None if last_id is None else last_id + 1
