"""Checks the ids of a stream's events, which mark where the stream can be resumed."""

from dataclasses import dataclass
from enum import Enum

from figshunt.dispatch._call import RoutedCall
from figshunt.dispatch._messages import ReplyEvent
from figshunt.types import PoolName

# Ids with which a stream may begin before the numbering of its pool is known.
USUAL_FIRST_IDS = frozenset({0, 1})

# After so many streams in a row that differ from the known numbering of their pool,
# its runners have changed their numbering.
MAX_DEVIATIONS = 3


class EventVerdict(Enum):
    """What is to be done with an event.

    A ``HELD`` event is forwarded once the next one confirms its place in the stream.
    An ``INVALID`` one must not be forwarded, nor the held one before it.
    """

    EXPECTED = "expected"
    HELD = "held"
    INVALID = "invalid"


@dataclass(slots=True)
class StreamNumbering:
    """How the runners of a pool number the events of their streams.

    Each event has data and an id, and ids are consecutive from ``first_id``.
    ``deviations`` counts the streams in a row that differed.
    """

    first_id: int
    deviations: int = 0


class StreamNumberings:
    """The numberings that complete streams have shown, one per pool of engines."""

    def __init__(self) -> None:
        self._numberings_by_pool: dict[PoolName, StreamNumbering] = {}

    def get(self, pool: PoolName) -> StreamNumbering | None:
        """Return the numbering of a pool, or ``None`` if it isn't known."""
        return self._numberings_by_pool.get(pool)

    def record_complete(self, pool: PoolName, first_id: int) -> None:
        """Record a complete stream of one runner with consecutive ids."""
        self._numberings_by_pool[pool] = StreamNumbering(first_id)

    def record_deviation(self, pool: PoolName) -> None:
        """Record a stream that differs; forget a numbering that no longer holds."""
        numbering = self._numberings_by_pool.get(pool)
        if numbering is None:
            return
        numbering.deviations += 1
        if numbering.deviations >= MAX_DEVIATIONS:
            del self._numberings_by_pool[pool]


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
