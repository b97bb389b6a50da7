"""Events are split and joined without losing, repeating or renumbering any."""

import unittest

from figshunt.runtime import (
    EventBatch,
    EventStreamReader,
    ServerSentEvent,
    attach_comments,
    join_events,
)

DONE = b"data: [DONE]\n\n"


def build_event(event_id: int | None, data: str = "x") -> bytes:
    head = "" if event_id is None else f"id: {event_id}\n"
    return f"{head}data: {data}\n\n".encode()


class JoinEventsTest(unittest.TestCase):
    """Guards promise 5: the attempt filter must see a gap in the event ids."""

    def test_events_are_joined_up_to_gaps_and_the_end(self) -> None:
        event_1, event_2, event_4 = (build_event(number) for number in (1, 2, 4))
        event_without_id = build_event(None)
        cases = (
            (
                "in order",
                [event_1, event_2],
                1,
                [EventBatch(event_1 + event_2, 2, 1, False)],
            ),
            ("end", [event_1, DONE], 1, [EventBatch(event_1 + DONE, 1, 1, True)]),
            (
                "comments",
                [event_1, b":\n\n", event_2],
                1,
                [EventBatch(event_1 + b":\n\n" + event_2, 2, 1, False)],
            ),
            ("end alone", [DONE], 7, [EventBatch(DONE, 0, 7, True)]),
            (
                "without ids",
                [event_without_id, event_without_id],
                5,
                [EventBatch(event_without_id + event_without_id, 2, 5, False)],
            ),
            ("after the end", [DONE, event_1], 1, [EventBatch(DONE, 0, 1, True)]),
            (
                "gap",
                [event_2, event_4, DONE],
                2,
                [
                    EventBatch(event_2, 1, 2, False),
                    EventBatch(event_4 + DONE, 1, 4, True),
                ],
            ),
            (
                "repeated",
                [event_1, event_1],
                1,
                [EventBatch(event_1, 1, 1, False), EventBatch(event_1, 1, 1, False)],
            ),
            ("late start", [event_4], 0, [EventBatch(event_4, 1, 4, False)]),
            ("nothing", [], 3, []),
        )
        for name, events, offset, batches in cases:
            with self.subTest(name):
                reader = EventStreamReader()
                read = list(reader.feed(b"".join(events)))
                self.assertEqual(list(join_events(read, offset)), batches)

    def test_splitting_does_not_depend_on_chunk_size(self) -> None:
        data = build_event(0) + build_event(1, "a: b") + DONE
        for chunk_size in (1, 3, len(data)):
            reader = EventStreamReader()
            chunks = [
                data[start : start + chunk_size]
                for start in range(0, len(data), chunk_size)
            ]
            events = [event for chunk in chunks for event in reader.feed(chunk)]
            self.assertEqual(b"".join(event.raw for event in events), data)
            self.assertEqual([event.event_id for event in events], [0, 1, None])


class EventIdTest(unittest.TestCase):
    """Guards against a place in the stream that a spoiled event seems to have."""

    def test_event_that_contains_another_has_no_id(self) -> None:
        joined = b"id: 1\ndata: x\nxid: 2\n" + build_event(2)
        (event,) = EventStreamReader().feed(joined)
        self.assertIsNone(event.event_id)

    def test_id_that_is_no_number_is_none(self) -> None:
        (event,) = EventStreamReader().feed(b"id: 1x\ndata: x\n\n")
        self.assertIsNone(event.event_id)


class AttachCommentsTest(unittest.TestCase):
    """Guards against one message for each comment of an endless series."""

    def test_comments_are_joined_with_the_next_event(self) -> None:
        comment, event = b":\n\n", build_event(1)
        events = EventStreamReader().feed(comment * 3 + event + comment * 2)
        self.assertEqual(
            [
                ServerSentEvent(comment * 3 + event, 1, b"x"),
                ServerSentEvent(comment * 2, None, b""),
            ],
            [event for event in attach_comments(events) if event is not None],
        )
