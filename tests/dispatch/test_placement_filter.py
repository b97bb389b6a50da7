"""Which runner a call goes to."""

import unittest

from figshunt.directory import EngineLimits, PublishedPool
from figshunt.dispatch import (
    Call,
    PeerHeard,
    PlacementNotice,
    ReplyEvent,
    ReplyStarted,
    SendCall,
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
