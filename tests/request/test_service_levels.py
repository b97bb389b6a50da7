"""Tests of the guarantees for tiers, in virtual time with simulated runners."""

import random
import statistics
import unittest
from collections import Counter
from typing import Any

from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from benchmarks.virtual_fleet import Outcome, VirtualFleet
from figshunt.policy import FirstInFirstOut, PolicyBuilder, StrictPriority, TieredFair
from figshunt.types import (
    AttemptEnded,
    AttemptFailed,
    AttemptFailure,
    ErrorCode,
    FailAnswer,
    PreemptionRequested,
    RequestAdmitted,
    RequestCancelled,
    RequestEnded,
    RequestReleased,
    SendState,
)
from tests.builders import build_pool, build_route, build_team

TEAMS = ("team-a", "team-b", "team-c")
CHAT = build_route("chat", tier=1)
LETTERS = build_route(
    "letters",
    tier=4,
    floor_share=0.1,
    latency_target_ms=30_000,
    deadline_ms=600_000,
)
LETTER_TOKENS = 300
LONG_LETTER_TOKENS = 1_200


def build_fleet(
    *routes: dict[str, Any],
    runners: int = 2,
    limit: int = 4,
    policy: PolicyBuilder = TieredFair,
) -> VirtualFleet:
    pools = [build_pool(runners=runners, limit=limit, cold_limit=limit)]
    teams = [build_team(name, name) for name in TEAMS]
    tables = {"routes": routes, "pools": pools, "teams": teams}
    return VirtualFleet(tables, policy)


def outcomes(fleet: VirtualFleet, route: str) -> list[Outcome]:
    return [
        outcome
        for outcome in fleet.outcomes.values()
        if outcome.arrival.request.route == route
    ]


def submit_chats(fleet: VirtualFleet, until_ms: int, gap_ms: int, seed: int) -> None:
    random_source = random.Random(seed)
    time_ms = 0.0
    while time_ms < until_ms:
        time_ms += random_source.expovariate(1 / gap_ms)
        tokens = random_source.randint(10, 60)
        fleet.schedule_action(
            time_ms, lambda tokens=tokens: fleet.submit("chat", tokens)
        )


class PreemptionTest(unittest.TestCase):
    def test_preempted_stream_is_complete_and_resumes_at_its_offset(self) -> None:
        """Guards against a preempted answer that is lost, repeated or started again."""
        fleet = build_fleet(CHAT, LETTERS, runners=1, limit=1)
        letter = fleet.submit("letters", LONG_LETTER_TOKENS, prompt_tokens=500)
        for time_ms in range(1_000, 9_000, 700):
            fleet.schedule_action(time_ms, lambda: fleet.submit("chat", 5))
        fleet.run(30_000)
        self.assertGreater(letter.preemptions, 4)
        self.assertTrue(letter.is_complete)
        self.assertEqual(letter.delivered_tokens, LONG_LETTER_TOKENS)
        max_lost_tokens = 8 * letter.preemptions
        self.assertLessEqual(
            letter.generated_tokens, LONG_LETTER_TOKENS + max_lost_tokens
        )
        self.assertTrue(all(chat.is_complete for chat in outcomes(fleet, "chat")))
        (ended,) = [
            message
            for message in fleet.schedule_messages
            if isinstance(message, RequestEnded)
            and message.routed.route.name == "letters"
        ]
        assert letter.first_token_ms is not None
        self.assertEqual(ended.first_token_ms, letter.first_token_ms)

    def test_preemption_does_not_use_the_retry_budget(self) -> None:
        """Guards against preemptions that use up the retries needed after a crash."""
        fleet = build_fleet(CHAT, LETTERS, runners=1, limit=1)
        letter = fleet.submit("letters", LONG_LETTER_TOKENS)
        for time_ms in range(1_000, 5_000, 700):
            fleet.schedule_action(time_ms, lambda: fleet.submit("chat", 5))
        fleet.run(5_600)
        self.assertGreater(letter.preemptions, 4)
        failure, send_state = AttemptFailure.CONNECTION_LOST, SendState.MAY_HAVE_ARRIVED
        for _ in range(3):
            (attempt_id,) = fleet.attempts
            fleet._end(attempt_id)
            fleet.handle_message(AttemptFailed(attempt_id, failure, send_state))
            fleet.run(fleet.now_ms + 100)
        fleet.run(30_000)
        self.assertTrue(letter.is_complete)

    def test_answer_that_cannot_resume_is_not_preempted(self) -> None:
        """Guards against breaking off an answer whose head has been sent."""
        fleet = build_fleet(CHAT, LETTERS, runners=1, limit=1)
        letter = fleet.submit("letters", LETTER_TOKENS)
        (attempt,) = fleet.core.attempts._attempts_by_id.values()
        object.__setattr__(attempt.routed.request, "stream", False)
        fleet.run(1_000)
        chat = fleet.submit("chat", 5)
        fleet.run(20_000)
        self.assertEqual(letter.preemptions, 0)
        self.assertTrue(letter.is_complete and chat.is_complete)

    def test_median_wait_of_chats_in_a_burst_of_letters(self) -> None:
        """Guards against chats that wait behind a batch of reminder letters.

        The design allows one slot time of a chat more than without the burst;
        the test uses the slot time of the longest chat on full runners.
        """
        medians = {}
        for letters in (0, 200):
            fleet = build_fleet(CHAT, LETTERS)
            submit_chats(fleet, 60_000, 150, seed=7)
            for _ in range(letters):
                fleet.schedule_action(
                    5_000,
                    lambda fleet=fleet: fleet.submit(
                        "letters", LETTER_TOKENS, "team-b", 2_000
                    ),
                )
            fleet.run(60_000)
            waits = [
                chat.started_ms - chat.arrival.request.arrived.monotonic_ms
                for chat in outcomes(fleet, "chat")
                if chat.started_ms is not None
            ]
            self.assertGreater(len(waits), 300)
            medians[letters] = statistics.median(waits)
        times = fleet.times
        slot_ms = 60 * (times.token_ms + 4 * times.token_ms_per_request)
        self.assertLessEqual(medians[200], medians[0] + slot_ms)

    def test_policy_that_always_preempts_cannot_loop(self) -> None:
        """Guards against one message that preempts and releases work endlessly."""

        class AlwaysPreempt(FirstInFirstOut):
            calls = 0

            def can_preempt(self, *_: object) -> bool:
                self.calls += 1
                assert self.calls < 10_000, "endless loop"
                return True

        def build(*_: object) -> AlwaysPreempt:
            return AlwaysPreempt()

        fleet = build_fleet(CHAT, LETTERS, runners=1, limit=2, policy=build)
        letters = [fleet.submit("letters", LETTER_TOKENS) for _ in range(3)]
        fleet.schedule_action(1_000, lambda: fleet.submit("chat", 5))
        fleet.run(60_000)
        self.assertTrue(all(letter.is_complete for letter in letters))


class Watcher:
    """Records refusals although lower-tier work could be shed or preempted."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self.fleet = fleet
        self.faults: list[str] = []
        fleet.on_effect = self.check

    def check(self, effect: Any) -> None:
        if not isinstance(effect, FailAnswer) or effect.code not in (
            ErrorCode.QUEUE_FULL,
            ErrorCode.DEADLINE_PASSED,
        ):
            return
        now = self.fleet.clock.now()
        schedule = self.fleet.core.schedule
        for ended in self.fleet.schedule_messages:
            if not isinstance(ended, RequestEnded):
                continue
            routed = ended.routed
            if routed.request_id != effect.request_id:
                continue
            for running in schedule._running.in_pool(routed.pool):
                # A request that started at this moment got its slot after the
                # refusal.
                if running.started_ms < now.monotonic_ms and (
                    schedule._policy.can_preempt(running.routed, routed, now)
                ):
                    self.faults.append(f"{routed.tier} refused, lower tier is running")
            if effect.code is ErrorCode.QUEUE_FULL:
                bound = schedule._queue_bound
                shed_candidate = schedule._policy.find_shed_candidate(routed, bound)
                if shed_candidate is not None and shed_candidate.tier > routed.tier:
                    self.faults.append(f"{routed.tier} refused, lower tier is queued")


class ServiceLevelPropertyTest(unittest.TestCase):
    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        phases=(Phase.explicit, Phase.generate),
    )
    @given(
        seed=st.integers(0, 10_000),
        limit=st.integers(1, 6),
        load=st.sampled_from((0.7, 1.5, 3.0)),
        bound=st.sampled_from((4, 32)),
        strict=st.booleans(),
    )
    # Every request of a class with the default floor was suspended until its
    # deadline.
    @example(seed=1323, limit=2, load=3.0, bound=32, strict=False)
    def test_tiers_under_mixed_load(
        self, seed: int, limit: int, load: float, bound: int, strict: bool
    ) -> None:
        """Guards against shed or suspended higher tiers, starving classes, and
        requests that end twice or never."""

        def build(weights: Any, estimates: Any) -> Any:
            return StrictPriority() if strict else TieredFair(weights, estimates)

        routes = [
            build_route(f"t{tier}", tier=tier, floor_share=floor, deadline_ms=8_000)
            for tier, floor in ((1, 0.0), (2, 0.2), (3, 0.0), (4, 0.1))
        ]
        fleet = build_fleet(*routes, runners=1, limit=limit, policy=build)
        fleet.core.schedule._queue_bound = bound
        watcher = Watcher(fleet)
        random_source = random.Random(seed)
        tokens_per_s = limit * 1_000 / (4 + 2 * limit)
        time_ms = 0.0
        while time_ms < 40_000:
            time_ms += random_source.expovariate(load * tokens_per_s / 60 / 1_000)
            name = f"t{random_source.randint(1, 4)}"
            team = random_source.choice(TEAMS)
            tokens = random_source.randint(1, 120)
            fleet.schedule_action(
                time_ms, lambda a=(name, tokens, team): fleet.submit(*a)
            )
            if random_source.random() < 0.05:
                later_ms = time_ms + random_source.randint(0, 2_000)
                fleet.schedule_action(
                    later_ms, lambda: self.cancel_random_request(fleet, random_source)
                )
        fleet.run(60_000)
        self.assertEqual(watcher.faults, [])
        self.check_suspensions(fleet)
        ends = Counter(
            message.routed.request_id
            for message in fleet.schedule_messages
            if isinstance(message, RequestEnded)
        )
        self.assertEqual(dict(ends), {request_id: 1 for request_id in fleet.outcomes})
        for outcome in fleet.outcomes.values():
            if outcome.is_complete:
                self.assertEqual(outcome.delivered_tokens, outcome.tokens)
            if outcome.failure is not None and outcome.started_ms is not None:
                self.assertNotEqual(outcome.failure.outcome.value, "not_run")
        self.assertFalse(fleet.attempts)
        self.assertFalse(fleet.core.attempts._sent_heads_by_request)
        for work in fleet.core.schedule._work_by_pool.values():
            self.assertEqual((len(work), work.highest_tier()), (0, None))
        if not strict:
            self.assertFalse(fleet.core.schedule._policy._services_by_id)
            for route in ("t2", "t3", "t4"):
                self.assertTrue(
                    any(outcome.is_complete for outcome in outcomes(fleet, route))
                )

    def cancel_random_request(
        self, fleet: VirtualFleet, random_source: random.Random
    ) -> None:
        open_ids = [
            request_id
            for request_id, outcome in fleet.outcomes.items()
            if outcome.ended_ms is None
        ]
        request_id = random_source.choice(open_ids) if open_ids else None
        if request_id is not None:
            fleet.handle_message(RequestCancelled(request_id))

    def check_suspensions(self, fleet: VirtualFleet) -> None:
        """Check that a request of a higher tier waits at each preemption."""
        waiting: dict[Any, int] = {}
        running: dict[Any, int] = {}
        for message in fleet.schedule_messages:
            match message:
                case RequestAdmitted(routed):
                    waiting[routed.request_id] = routed.tier
                case RequestReleased(routed):
                    waiting.pop(routed.request_id, None)
                    running[routed.request_id] = routed.tier
                case RequestEnded(routed):
                    waiting.pop(routed.request_id, None)
                case RequestCancelled(request_id):
                    waiting.pop(request_id, None)
                case PreemptionRequested(request_id):
                    self.assertLess(min(waiting.values()), running[request_id])
                case AttemptEnded():
                    running.pop(message.routed.request_id)
