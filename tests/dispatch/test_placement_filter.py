"""Which runner a call goes to."""

import unittest

from figshunt.directory import EngineLimits, PublishedPool
from figshunt.dispatch import (
    Call,
    PeerHeard,
    PlacementNotice,
    QueueNotice,
    ReplyEvent,
    ReplyStarted,
    ReplyWhole,
    SendCall,
    TellPeers,
)
from figshunt.types import LogEvent, PoolName, RunnerId
from tests.builders import (
    build_booking_route,
    build_call,
    build_configuration,
    build_host_status,
    build_prompt,
    build_published_route,
    build_published_runner,
    build_reply_head,
)
from tests.dispatch.driver import CoreDriver

LONG_QUEUE_TOKENS = 200_000
SHARED = ("shared", 6_000)


def build_letter(call_id: str) -> Call:
    """Return a call with a long prompt that shares its first part."""
    return build_call(call_id, prompt=build_prompt(6_500, SHARED))


class FailedFetchTest(unittest.TestCase):
    """Guards against asking a runner for parts that it doesn't have."""

    def setUp(self) -> None:
        engines = PublishedPool(
            PoolName("engines"), 3_000, 13.0, EngineLimits(260_000, 4, 280.0)
        )
        self.driver = CoreDriver(
            build_published_runner("e1"),
            build_published_runner("e2"),
            build_published_runner("e3"),
            configuration=build_configuration(
                build_published_route(target_ms=1_500, gap_target_ms=None),
                pools_by_name={engines.name: engines},
            ),
        )
        self.driver.call(build_letter("r1"))
        self.holder = self.driver.last_send()
        self.driver.pass_time(1_000)

    def fill(self, runner_id: RunnerId) -> None:
        """Let a peer tell that a runner has a lot to read."""
        notice = PlacementNotice(runner_id, LONG_QUEUE_TOKENS, 0, 0, ())
        self.driver.feed(PeerHeard(build_host_status(placements=(notice,))))

    def begin(self, send: SendCall, waited_ms: int) -> None:
        self.driver.pass_time(waited_ms)
        head = build_reply_head(is_stream=True)
        self.driver.feed(ReplyStarted(send.attempt_id, head))
        self.driver.feed(ReplyEvent(send.attempt_id, 1, b"id: 1\n\n"))

    def send_elsewhere(self, call_id: str) -> SendCall:
        self.fill(self.driver.last_send().runner_id)
        self.driver.call(build_letter(call_id))
        return self.driver.last_send()

    def test_holder_is_asked_while_fetches_succeed(self) -> None:
        first = self.send_elsewhere("r2")
        self.assertEqual(self.holder.address, first.fetch_from)
        self.begin(first, 50)
        second = self.send_elsewhere("r3")
        self.assertIsNotNone(second.fetch_from)

    def test_holder_is_left_alone_after_a_failed_fetch(self) -> None:
        first = self.send_elsewhere("r2")
        self.begin(first, 400)
        events = [log.event for log in self.driver.all_of(LogEvent)]
        self.assertIn("fetch_failed", events)
        second = self.send_elsewhere("r3")
        self.assertNotEqual(self.holder.address, second.fetch_from)


class LateRunnerTest(unittest.TestCase):
    """Guards against a queue that only one host knows of."""

    def test_peers_are_told_that_a_runner_is_behind(self) -> None:
        driver = CoreDriver(build_published_runner("e1"))
        driver.call(build_call("r1", prompt=build_prompt()))
        first = driver.last_send()
        driver.call(build_call("r2", prompt=build_prompt(30_000, ("long", 29_000))))
        driver.pass_time(400)
        driver.feed(ReplyStarted(first.attempt_id, build_reply_head(is_stream=True)))
        driver.feed(ReplyEvent(first.attempt_id, 1, b"id: 1\n\n"))
        (told,) = [one for one in driver.all_of(TellPeers) if one.queues]
        self.assertEqual("e1", told.queues[0].runner_id)
        self.assertLess(500, told.queues[0].backlog_ms)

    def test_word_of_a_peer_counts(self) -> None:
        driver = CoreDriver(build_published_runner("e1"), build_published_runner("e2"))
        queue = QueueNotice(RunnerId("e1"), 2_000)
        driver.feed(PeerHeard(build_host_status(queues=(queue,))))
        for number in range(5):
            driver.call(build_call(f"r{number}", prompt=build_prompt()))
        self.assertEqual({"e2"}, {one.runner_id for one in driver.all_of(SendCall)})


class SilentRunnerTest(unittest.TestCase):
    """Guards against sending more and more to a runner that says nothing."""

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner("b1", "bookings", slots=4),
            build_published_runner("b2", "bookings", slots=4),
            configuration=build_configuration(
                build_booking_route(most_runners=1, timeout_ms=300)
            ),
        )
        self.calls = 0

    def send(self) -> SendCall:
        self.calls += 1
        self.driver.call(build_call(f"r{self.calls}", "/book/1"))
        return self.driver.last_send()

    def answer(self, send: SendCall) -> None:
        self.driver.feed(ReplyWhole(send.attempt_id, build_reply_head(), b""))

    def send_to(self, runner_id: str, count: int) -> list[SendCall]:
        """Send so many calls to each runner; those to the other are answered."""
        sent = [self.send() for _ in range(2 * count)]
        for send in sent:
            if send.runner_id != runner_id:
                self.answer(send)
        return [send for send in sent if send.runner_id == runner_id]

    def send_burst(self) -> list[SendCall]:
        """Send calls that are not answered yet; return those to b1."""
        sent = [self.send() for _ in range(10)]
        return [send for send in sent if send.runner_id == "b1"]

    def test_silent_runner_is_left_alone(self) -> None:
        self.send_to("b1", 2)
        self.driver.pass_time(400)
        self.assertEqual([], self.send_burst())

    def test_silent_runner_gets_one_call_at_a_time_until_it_answers(self) -> None:
        self.send_to("b1", 2)
        self.driver.pass_time(400)
        self.driver.pass_time(300)
        trials = self.send_burst()
        self.assertEqual(1, len(trials))
        self.answer(trials[0])
        self.assertLess(1, len(self.send_burst()))

    def test_runner_that_answers_others_is_not_silent(self) -> None:
        first, second, third = self.send_to("b1", 3)
        self.driver.pass_time(200)
        self.answer(third)
        self.driver.pass_time(200)
        self.assertLess(1, len(self.send_burst()))

    def test_single_slow_request_does_not_exclude(self) -> None:
        self.send_to("b1", 1)
        self.driver.pass_time(400)
        self.assertLess(1, len(self.send_burst()))
