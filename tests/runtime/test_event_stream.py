"""Events are cut and joined without losing, repeating or renumbering one."""

import unittest

from figshunt.runtime import EventRun, EventStreamReader, join_events

DONE = b"data: [DONE]\n\n"


def build_event(event_id: int | None, data: str = "x") -> bytes:
    head = "" if event_id is None else f"id: {event_id}\n"
    return f"{head}data: {data}\n\n".encode()


class JoinEventsTest(unittest.TestCase):
    """Guards promise 5: a gap in the ids must reach the attempt filter."""

    def test_runs(self) -> None:
        one, two, four = (build_event(number) for number in (1, 2, 4))
        bare = build_event(None)
        cases = (
            ("in order", [one, two], 1, [EventRun(one + two, 2, 1, False)]),
            ("end", [one, DONE], 1, [EventRun(one + DONE, 1, 1, True)]),
            ("end alone", [DONE], 7, [EventRun(DONE, 0, 7, True)]),
            ("without ids", [bare, bare], 5, [EventRun(bare + bare, 2, 5, False)]),
            ("behind the end", [DONE, one], 1, [EventRun(DONE, 0, 1, True)]),
            (
                "gap",
                [two, four, DONE],
                2,
                [EventRun(two, 1, 2, False), EventRun(four + DONE, 1, 4, True)],
            ),
            (
                "repeated",
                [one, one],
                1,
                [EventRun(one, 1, 1, False), EventRun(one, 1, 1, False)],
            ),
            ("late start", [four], 0, [EventRun(four, 1, 4, False)]),
            ("nothing", [], 3, []),
        )
        for name, events, offset, runs in cases:
            with self.subTest(name):
                reader = EventStreamReader()
                read = list(reader.feed(b"".join(events)))
                self.assertEqual(list(join_events(read, offset)), runs)

    def test_cutting_doesn_t_depend_on_how_bytes_arrive(self) -> None:
        data = build_event(0) + build_event(1, "a: b") + DONE
        for size in (1, 3, len(data)):
            reader = EventStreamReader()
            pieces = [data[start : start + size] for start in range(0, len(data), size)]
            events = [event for piece in pieces for event in reader.feed(piece)]
            self.assertEqual(b"".join(event.raw for event in events), data)
            self.assertEqual([event.event_id for event in events], [0, 1, None])
