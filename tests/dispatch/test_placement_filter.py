"""The choice of the runner for a call."""

import unittest

from figshunt.directory import EngineLimits, PublishedPool
from figshunt.dispatch import (
    BroadcastStatus,
    Call,
    PeerStatusReceived,
    PlacementNotice,
    QueueNotice,
    ReplyComplete,
    ReplyEvent,
    ReplyStarted,
    SilenceNotice,
    StartCallAttempt,
)
from figshunt.types import LogEvent, PoolName, RunnerId
from tests.builders import (
    build_call,
    build_configuration,
    build_host_status,
    build_prompt,
    build_published_route,
    build_published_runner,
    build_reply_head,
    build_run_once_route,
)
from tests.dispatch.driver import CoreDriver

LONG_QUEUE_TOKENS = 200_000
SHARED_PART = ("shared", 6_000)


def build_long_prompt_call(call_id: str) -> Call:
    """Return a call with a long prompt and the shared first part."""
    return build_call(call_id, prompt=build_prompt(6_500, SHARED_PART))


class FailedFetchTest(unittest.TestCase):
    """Guards against repeated fetches from a runner without the cached parts."""

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
        self.driver.call(build_long_prompt_call("r1"))
        self.holder = self.driver.last_attempt()
        self.driver.advance(1_000)

    def report_long_queue(self, runner_id: RunnerId) -> None:
        """Report from a peer that a long prompt was sent to a runner."""
        notice = PlacementNotice(runner_id, LONG_QUEUE_TOKENS, 0, 0, ())
        self.driver.handle(PeerStatusReceived(build_host_status(placements=(notice,))))

    def send_first_event(self, attempt: StartCallAttempt, waited_ms: int) -> None:
        self.driver.advance(waited_ms)
        head = build_reply_head(is_stream=True)
        self.driver.handle(ReplyStarted(attempt.attempt_id, head))
        self.driver.handle(ReplyEvent(attempt.attempt_id, 1, b"id: 1\n\n"))

    def send_elsewhere(self, call_id: str) -> StartCallAttempt:
        self.report_long_queue(self.driver.last_attempt().runner_id)
        self.driver.call(build_long_prompt_call(call_id))
        return self.driver.last_attempt()

    def test_prefix_is_fetched_from_holder_while_fetches_succeed(self) -> None:
        first = self.send_elsewhere("r2")
        self.assertEqual(self.holder.address, first.fetch_from)
        self.send_first_event(first, 50)
        second = self.send_elsewhere("r3")
        self.assertIsNotNone(second.fetch_from)

    def test_nothing_is_fetched_from_holder_after_failed_fetch(self) -> None:
        first = self.send_elsewhere("r2")
        self.send_first_event(first, 400)
        events = [log.event for log in self.driver.effects_of(LogEvent)]
        self.assertIn("fetch_failed", events)
        second = self.send_elsewhere("r3")
        self.assertNotEqual(self.holder.address, second.fetch_from)


class BacklogTest(unittest.TestCase):
    """Guards against calls to a runner whose backlog only one host has observed."""

    def test_backlog_is_sent_to_peers_after_late_first_event(self) -> None:
        driver = CoreDriver(build_published_runner("e1"))
        driver.call(build_call("r1", prompt=build_prompt()))
        first = driver.last_attempt()
        driver.call(build_call("r2", prompt=build_prompt(30_000, ("long", 29_000))))
        driver.advance(400)
        driver.handle(ReplyStarted(first.attempt_id, build_reply_head(is_stream=True)))
        driver.handle(ReplyEvent(first.attempt_id, 1, b"id: 1\n\n"))
        (broadcast,) = [
            effect for effect in driver.effects_of(BroadcastStatus) if effect.queues
        ]
        self.assertEqual("e1", broadcast.queues[0].runner_id)
        self.assertLess(500, broadcast.queues[0].backlog_ms)

    def test_backlog_reported_by_peer_is_used(self) -> None:
        driver = CoreDriver(build_published_runner("e1"), build_published_runner("e2"))
        queue = QueueNotice(RunnerId("e1"), 2_000)
        driver.handle(PeerStatusReceived(build_host_status(queues=(queue,))))
        for number in range(5):
            driver.call(build_call(f"r{number}", prompt=build_prompt()))
        self.assertEqual(
            {"e2"},
            {attempt.runner_id for attempt in driver.effects_of(StartCallAttempt)},
        )


class SilentRunnerTest(unittest.TestCase):
    """Guards against a growing number of calls to a runner that never answers."""

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner("b1", "bookings", slots=4),
            build_published_runner("b2", "bookings", slots=4),
            configuration=build_configuration(
                build_run_once_route(max_runners=1, timeout_ms=300)
            ),
        )
        self.call_count = 0

    def send(self) -> StartCallAttempt:
        self.call_count += 1
        self.driver.call(build_call(f"r{self.call_count}", "/book/1"))
        return self.driver.last_attempt()

    def answer(self, attempt: StartCallAttempt) -> None:
        self.driver.handle(ReplyComplete(attempt.attempt_id, build_reply_head(), b""))

    def send_to(self, runner_id: str, count: int) -> list[StartCallAttempt]:
        """Send ``count`` calls to each runner and answer those of the other one.

        :returns: the unanswered attempts at ``runner_id``.
        """
        attempts = [self.send() for _ in range(2 * count)]
        for attempt in attempts:
            if attempt.runner_id != runner_id:
                self.answer(attempt)
        return [attempt for attempt in attempts if attempt.runner_id == runner_id]

    def send_burst(self) -> list[StartCallAttempt]:
        """Send ten calls without answering them, and return those to b1."""
        attempts = [self.send() for _ in range(10)]
        return [attempt for attempt in attempts if attempt.runner_id == "b1"]

    def test_silent_runner_gets_no_calls(self) -> None:
        self.send_to("b1", 2)
        self.driver.advance(400)
        self.assertEqual([], self.send_burst())

    def test_silent_runner_gets_one_call_at_a_time_until_it_answers(self) -> None:
        self.send_to("b1", 2)
        self.driver.advance(400)
        self.driver.advance(300)
        trial_attempts = self.send_burst()
        self.assertEqual(1, len(trial_attempts))
        self.answer(trial_attempts[0])
        self.assertLess(1, len(self.send_burst()))

    def test_runner_that_answers_other_calls_is_not_silent(self) -> None:
        first, second, third = self.send_to("b1", 3)
        self.driver.advance(200)
        self.answer(third)
        self.driver.advance(200)
        self.assertLess(1, len(self.send_burst()))

    def test_single_slow_request_does_not_exclude_runner(self) -> None:
        self.send_to("b1", 1)
        self.driver.advance(400)
        self.assertLess(1, len(self.send_burst()))


class ToldSilenceTest(unittest.TestCase):
    """Guards against a fleet in which each host loses calls to find a silent runner."""

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner("b1", "bookings", slots=4),
            build_published_runner("b2", "bookings", slots=4, data_centre="b"),
            configuration=build_configuration(
                build_run_once_route(max_runners=1, timeout_ms=300)
            ),
        )

    def send(self, number: int) -> str:
        """Send a call, answer it, and return the runner that got it."""
        self.driver.call(build_call(f"r{number}", "/book/1"))
        attempt = self.driver.last_attempt()
        self.driver.handle(ReplyComplete(attempt.attempt_id, build_reply_head(), b""))
        return attempt.runner_id

    def tell(self, *hosts: str) -> None:
        for host in hosts:
            notice = SilenceNotice(RunnerId("b1"), 1_000)
            status = build_host_status(host, silences=(notice,))
            self.driver.handle(PeerStatusReceived(status))

    def test_silence_reported_by_two_hosts_keeps_calls_away(self) -> None:
        self.tell("h2", "h3")
        self.assertEqual({"b2"}, {self.send(number) for number in range(8)})

    def test_single_host_is_not_believed(self) -> None:
        """One host may have lost its own connections."""
        self.tell("h2", "h2", "h2")
        self.assertIn("b1", {self.send(number) for number in range(8)})

    def test_runner_that_answers_this_host_is_used_on(self) -> None:
        self.driver.unlist_runner("b2")
        self.assertEqual("b1", self.send(0))
        self.driver.list_runner(build_published_runner("b2", "bookings", slots=4))
        self.tell("h2", "h3", "h4")
        self.assertIn("b1", {self.send(number) for number in range(1, 12)})

    def test_runner_is_tried_again_after_the_time(self) -> None:
        self.tell("h2", "h3")
        self.driver.advance(4_100)
        self.assertIn("b1", {self.send(number) for number in range(12)})

    def test_silent_runner_is_told_to_peers(self) -> None:
        self.driver.unlist_runner("b2")
        for number in range(2):
            self.driver.call(build_call(f"r{number}", "/book/1"))
        self.driver.advance(300)
        notices = [
            notice
            for effect in self.driver.effects_of(BroadcastStatus)
            for notice in effect.silences
        ]
        self.assertEqual([RunnerId("b1")], [notice.runner_id for notice in notices])


if __name__ == "__main__":
    unittest.main()
