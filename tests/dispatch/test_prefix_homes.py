"""Homes of shared prefixes and free slots at peak load, and their failures."""

import unittest

from benchmarks.prefix_affinity import CHAT, LONG, MEDIUM, replay
from figshunt.dispatch import (
    AnswerError,
    OccupancyNotice,
    PartId,
    PeerStatusReceived,
    QueueNotice,
    ReplyComplete,
)
from figshunt.dispatch.placement._prefix_homes import PROPOSED_HOMES, rank_runners
from figshunt.types import RunnerId
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

ENGINES = 28
SLOTS = 12
PREFIXES = [PartId(f"prefix-{number}") for number in range(200)]
BRIEF_ROUTE = build_published_route("brief", gap_target_ms=None, target_ms=900)
SHARED_PART = ("shared", 6_000)

# Priorities of chats and long prompts, as told to peers.
URGENT, LEAST_URGENT = 0, 8


def build_driver(host: str = "h1") -> CoreDriver:
    """Return a host of data centre a that knows engines in two data centres."""
    return CoreDriver(
        *(
            build_published_runner(
                f"e{number}", slots=SLOTS, data_centre="ab"[number % 2]
            )
            for number in range(ENGINES)
        ),
        configuration=build_configuration(
            CHAT.route, MEDIUM.route, LONG.route, BRIEF_ROUTE
        ),
        host=host,
    )


def send_long(driver: CoreDriver, number: int, ends: bool = True) -> RunnerId:
    """Send a long prompt with the shared part and return its engine."""
    prompt = build_prompt(9_000, SHARED_PART, name=f"own-{number}")
    driver.call(build_call(f"r{number}", "/long/1", prompt=prompt))
    attempt = driver.last_attempt()
    if ends:
        driver.handle(ReplyComplete(attempt.attempt_id, build_reply_head(), b""))
    return attempt.runner_id


def tell_taken(driver: CoreDriver, requests: int, priority: int, *kept: str) -> None:
    """Tell from a peer that it has so many requests at all engines but these."""
    notices = tuple(
        OccupancyNotice(RunnerId(f"e{number}"), priority, requests, requests)
        for number in range(ENGINES)
        if f"e{number}" not in kept
    )
    driver.handle(PeerStatusReceived(build_host_status(occupancies=notices)))


class PeakReplayTest(unittest.TestCase):
    """Guards against prefixes that spread over all engines at peak load.

    Without homes, engines read 0.28 of the shared tokens again and preempt 11
    requests in this replay.
    """

    def test_few_shared_tokens_are_read_again_and_calls_are_in_time(self) -> None:
        _, figures = replay(27, 2.4, 1, 2_000, ENGINES)
        self.assertLess(figures.reread_share, 0.23)
        self.assertLess(figures.busiest_share, 1.75)
        self.assertLessEqual(figures.preemptions, 5)
        self.assertLess(max(figures.late_shares.values()), 0.02)


class RankingTest(unittest.TestCase):
    """Guards against homes that move, or differ between hosts, as engines change."""

    def setUp(self) -> None:
        self.runners = [build_published_runner(f"e{n}") for n in range(ENGINES)]

    def test_engine_that_leaves_moves_only_its_own_prefixes(self) -> None:
        """The order in which a host learned of engines doesn't matter either."""
        left = self.runners[3]
        others = [runner for runner in reversed(self.runners) if runner is not left]
        for prefix in PREFIXES:
            before = list(rank_runners(prefix, self.runners))
            after = rank_runners(prefix, others)
            if left.runner_id in before:
                before.remove(left.runner_id)
            self.assertEqual(before, list(after[: len(before)]))

    def test_prefixes_are_spread_by_slots(self) -> None:
        large = build_published_runner("large", slots=3 * 64)
        first_ids = [rank_runners(p, [*self.runners, large])[0] for p in PREFIXES]
        counts = [first_ids.count(runner.runner_id) for runner in self.runners]
        self.assertLess(max(counts), len(PREFIXES) / ENGINES * 3)
        self.assertGreater(first_ids.count(large.runner_id), max(counts) / 2)


class HomeTest(unittest.TestCase):
    """Guards against prefixes that hosts send to different engines, or to bad ones."""

    def test_hosts_that_do_not_hear_each_other_choose_the_same_homes(self) -> None:
        runner_ids = {send_long(build_driver(f"h{host}"), 1) for host in range(12)}
        self.assertLessEqual(len(runner_ids), PROPOSED_HOMES)

    def test_hosts_that_disagree_on_one_engine_share_the_other_homes(self) -> None:
        runner_ids = [send_long(build_driver(f"h{host}"), 1) for host in range(6)]
        driver = build_driver("h9")
        driver.unlist_runner(runner_ids[0])
        self.assertNotEqual(runner_ids[0], send_long(driver, 1))
        homes = rank_runners(
            PartId("shared"),
            [build_published_runner(f"e{n}", slots=SLOTS) for n in range(ENGINES)],
        )
        self.assertIn(send_long(driver, 2), homes[: PROPOSED_HOMES + 1])

    def test_call_gives_way_when_the_holder_is_behind_or_leaves(self) -> None:
        driver = build_driver()
        holder = send_long(driver, 1)
        self.assertEqual(holder, send_long(driver, 2))
        queue = QueueNotice(holder, 3_000)
        driver.handle(PeerStatusReceived(build_host_status(queues=(queue,))))
        second = send_long(driver, 3)
        self.assertNotEqual(holder, second)
        driver.unlist_runner(second)
        self.assertNotIn(send_long(driver, 4), (second, holder))
        self.assertEqual([], driver.effects_of(AnswerError))


class FreeSlotTest(unittest.TestCase):
    """Guards against engines with few slots that are filled beyond them."""

    def setUp(self) -> None:
        self.driver = build_driver()

    def send(self, route: str) -> RunnerId | None:
        """Send a call and return the engine that it is passed on to, if any."""
        started = len(self.driver.effects)
        self.driver.call(build_call(route, f"/{route}/1", prompt=build_prompt()))
        sent = [e for e in self.driver.effects[started:] if hasattr(e, "runner_id")]
        return sent[0].runner_id if sent else None

    def test_urgent_call_takes_the_free_slot_before_it_preempts(self) -> None:
        tell_taken(self.driver, SLOTS, LEAST_URGENT, "e7")
        self.assertEqual("e7", self.send("chat"))

    def test_urgent_call_preempts_if_no_slot_is_free(self) -> None:
        tell_taken(self.driver, SLOTS, LEAST_URGENT)
        self.assertIsNotNone(self.send("chat"))
        self.assertIsNotNone(self.send("medium"))

    def test_least_urgent_call_is_not_sent_to_engines_without_a_free_slot(self) -> None:
        tell_taken(self.driver, SLOTS, URGENT)
        self.assertIsNone(self.send("long"))
        tell_taken(self.driver, 0, URGENT)
        tell_taken(self.driver, SLOTS, LEAST_URGENT)
        self.assertIsNone(self.send("long"))


class QuietEngineTest(unittest.TestCase):
    """Guards against long prompts that make the streams of chats late."""

    def test_long_prompts_and_chats_use_different_engines(self) -> None:
        driver = build_driver()
        chat_ids, long_ids = set(), set()
        for number in range(20):
            prompt = build_prompt(700, name=f"chat-{number}", output_tokens=400)
            driver.call(build_call(f"c{number}", "/chat/1", prompt=prompt))
            chat_ids.add(driver.last_attempt().runner_id)
            driver.clock.advance(50)
            long_ids.add(send_long(driver, number, ends=False))
        self.assertLessEqual(len(chat_ids), ENGINES / 4)
        self.assertLessEqual(len(chat_ids & long_ids), 1)


class DataCentreTest(unittest.TestCase):
    """Guards against calls that leave a data centre whose engines are as good."""

    def test_call_stays_in_the_data_centre_until_its_engines_are_full(self) -> None:
        driver = build_driver()
        for number in range(5):
            prompt = build_prompt(900, name=f"own-{number}")
            driver.call(build_call(f"r{number}", "/brief/1", prompt=prompt))
            self.assertEqual("a", self.centre(driver))
        tell_taken(driver, SLOTS, URGENT, *(f"e{n}" for n in range(1, ENGINES, 2)))
        driver.call(build_call("r9", "/brief/1", prompt=build_prompt(900)))
        self.assertEqual("b", self.centre(driver))

    def centre(self, driver: CoreDriver) -> str:
        """Return the data centre of the engine that was chosen last."""
        return "ab"[int(driver.last_attempt().runner_id[1:]) % 2]


if __name__ == "__main__":
    unittest.main()
