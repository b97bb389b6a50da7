"""Tests of the order of service, floors and fairness of scheduling policies."""

import itertools
import math
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from figshunt.policy import (
    FirstInFirstOut,
    SchedulingPolicy,
    StrictPriority,
    TieredFair,
)
from figshunt.policy._class_shares import DEFAULT_FLOOR_SHARE, SHARE_TIME_CONSTANT_MS
from figshunt.policy._team_queues import MAX_TEAM_DEBTS
from figshunt.types import Moment, PoolName, RequestId, RoutedRequest
from tests.builders import build_routed_request
from tests.policy.fakes import FixedRunEstimates, FixedWeights

START = Moment(1_000, 1_800_000_000_000)
POOL = PoolName("engines")


def build_fair(**weights: float) -> TieredFair:
    return TieredFair(FixedWeights(**weights), FixedRunEstimates())


BUILDERS: tuple[Callable[[], SchedulingPolicy], ...] = (
    FirstInFirstOut,
    StrictPriority,
    build_fair,
)


def fill(policy: SchedulingPolicy, *groups: tuple[int, dict[str, Any]]) -> None:
    """Enqueue requests, numbered from 1, with the given counts and changes."""
    numbers = itertools.count(1)
    for count, changes in groups:
        first = build_routed_request(START, **({"deadline_ms": 10**7} | changes))
        for _ in range(count):
            request_id = RequestId(f"request-{next(numbers)}")
            request = replace(first.request, request_id=request_id)
            policy.enqueue(replace(first, request=request), START)


def serve(
    policy: SchedulingPolicy,
    slots: int,
    until_ms: int,
    run_ms: Callable[[RoutedRequest], int],
    key: Callable[[RoutedRequest], str],
) -> tuple[Counter[str], dict[str, list[int]]]:
    """Simulate service on busy slots for ``until_ms``.

    :returns: slot time by key, and start times by key.
    """
    slot_ms_by_key: Counter[str] = Counter()
    starts_ms_by_key: dict[str, list[int]] = {}
    running: list[tuple[int, int, RoutedRequest]] = []
    now_ms = 0
    while now_ms < until_ms:
        now = START.plus(now_ms)
        for entry in [candidate for candidate in running if candidate[0] <= now_ms]:
            running.remove(entry)
            policy.record_service(entry[2], entry[0] - entry[1], now)
        while len(running) < slots:
            routed = policy.choose(POOL, now)
            if routed is None:
                break
            slot_ms_by_key[key(routed)] += run_ms(routed)
            starts_ms_by_key.setdefault(key(routed), []).append(now_ms)
            running.append((now_ms + run_ms(routed), now_ms, routed))
        now_ms = min((entry[0] for entry in running), default=until_ms)
    for ends_ms, started_ms, routed in running:
        policy.record_service(routed, ends_ms - started_ms, START.plus(until_ms))
    return slot_ms_by_key, starts_ms_by_key


class OrderTest(unittest.TestCase):
    def test_order_of_tiers(self) -> None:
        """Guards against a policy that serves tiers in the wrong order."""
        waiting = [(1, {"name": f"t{tier}", "tier": tier}) for tier in (3, 1, 4, 2)]
        expected = {
            FirstInFirstOut: [3, 1, 4, 2],
            StrictPriority: [1, 2, 3, 4],
            build_fair: [1, 2, 3, 4],
        }
        for build in BUILDERS:
            with self.subTest(build):
                policy = build()
                fill(policy, *waiting)
                order = []
                while (routed := policy.choose(POOL, START)) is not None:
                    order.append(int(routed.tier))
                    policy.record_service(routed, 0, START)
                self.assertEqual(order, expected[build])

    def test_requeued_request_keeps_its_position(self) -> None:
        """Guards against a preempted request that is queued behind later ones."""
        for build in BUILDERS:
            with self.subTest(build):
                policy = build()
                fill(policy, (3, {}), (2, {"team": "team-b"}))
                chosen_requests = [policy.choose(POOL, START) for _ in range(2)]
                for routed in reversed(chosen_requests):
                    assert routed is not None
                    policy.record_service(routed, 10, START)
                    policy.requeue(routed, START)
                chosen_again = [policy.choose(POOL, START) for _ in range(2)]
                self.assertEqual(set(chosen_again), set(chosen_requests))

    def test_removed_and_expired_requests_are_not_chosen(self) -> None:
        for build in BUILDERS:
            with self.subTest(build):
                policy = build()
                fill(policy, (3, {"deadline_ms": 100}), (1, {"name": "late"}))
                first, second, *_ = policy.waiting(POOL)
                self.assertEqual(policy.remove(first.request_id, START), first)
                self.assertIsNone(policy.remove(first.request_id, START))
                expired_requests = policy.expire(START.plus(100))
                self.assertIn(second, expired_requests)
                self.assertEqual(len(expired_requests), 2)
                last = policy.choose(POOL, START.plus(100))
                assert last is not None
                self.assertEqual(last.route.name, "late")
                self.assertIsNone(policy.choose(POOL, START.plus(100)))

    def test_shedding_and_preemption_by_tier(self) -> None:
        """Guards against shedding or preempting a higher tier for a lower one."""
        waiting = ((4, {"name": "low", "tier": 3}), (4, {"name": "mid", "tier": 2}))
        cases = ((1, "low", True), (2, "low", True), (3, None, False), (4, None, False))
        for build in BUILDERS:
            for tier, to_shed, preempts in cases:
                if build is FirstInFirstOut:
                    to_shed, preempts = None, False
                if build is build_fair and tier == 3:
                    # The team in class "low" has more places in this tier.
                    to_shed = "low"
                with self.subTest(build, tier=tier):
                    policy = build()
                    fill(policy, *waiting)
                    new_request = build_routed_request(START, 99, name="new", tier=tier)
                    candidate = policy.find_shed_candidate(new_request, 1)
                    self.assertEqual(
                        candidate.route.name if candidate else None, to_shed
                    )
                    low_request = build_routed_request(START, 98, name="low", tier=3)
                    policy.enqueue(low_request, START)
                    serve(policy, 16, 5_000, lambda _: 1_000, lambda _: "")
                    fill(policy, (1, {"name": "low", "tier": 3}))
                    running_request = policy.choose(POOL, START.plus(5_000))
                    assert running_request is not None
                    now = START.plus(6_000)
                    self.assertEqual(
                        policy.can_preempt(running_request, new_request, now), preempts
                    )


class FloorTest(unittest.TestCase):
    def test_floors_hold_under_a_saturating_higher_tier(self) -> None:
        """Guards against starvation of a lower tier.

        Long runs and few slots are included, where one request takes up a
        large part of the pool.
        """
        for slots, run_low_ms, floor in (
            (1, 1_000, 0.2),
            (4, 1_000, 0.1),
            (16, 8_000, 0.2),
            (2, 500, 0.0),
        ):
            with self.subTest(slots=slots, run_low_ms=run_low_ms, floor=floor):
                policy = build_fair()
                fill(
                    policy,
                    (8_000, {"name": "high", "tier": 1}),
                    (500, {"name": "low", "tier": 4, "floor_share": floor}),
                )
                runs = {"high": 400, "low": run_low_ms}
                used, starts = serve(
                    policy,
                    slots,
                    150_000,
                    lambda routed: runs[routed.route.name],
                    lambda routed: routed.route.name,
                )
                share = used["low"] / (used["low"] + used["high"])
                effective_floor = floor or DEFAULT_FLOOR_SHARE
                slack = 2 * run_low_ms * slots / (150_000 * slots) + 0.02
                self.assertGreater(share, effective_floor - slack)
                self.assertLess(share, effective_floor + slack)
                gaps = zip(starts["low"], starts["low"][1:], strict=False)
                bound_ms = run_low_ms / (effective_floor * slots) + 2 * run_low_ms + 800
                self.assertLess(max(b - a for a, b in gaps), 2 * bound_ms)

    def test_wait_after_using_the_entire_pool_is_bounded(self) -> None:
        """Guards against a class that is charged forever for idle slots it used.

        It has used the entire pool while no other class had requests. Its next
        wait must end within the bound documented in ``TieredFair``.
        """
        for slots_after in (4, 1):
            with self.subTest(slots_after=slots_after):
                policy = build_fair()
                low_route = {"name": "low", "tier": 4, "floor_share": 0.1}
                fill(policy, (600, low_route))
                serve(policy, 4, 60_000, lambda _: 1_000, lambda _: "low")
                later = START.plus(60_000)
                for number in range(2_000):
                    changes = {"name": "high", "tier": 1, "deadline_ms": 10**7}
                    routed = build_routed_request(later, 10_000 + number, **changes)
                    policy.enqueue(routed, later)
                waited_ms, _ = self.wait_for(policy, "low", slots_after, later)
                time_constants = math.log(1 + 4 / slots_after * (1 / 0.1 - 1))
                self.assertLess(
                    waited_ms, SHARE_TIME_CONSTANT_MS * time_constants + 1_000
                )

    def wait_for(
        self, policy: SchedulingPolicy, name: str, slots: int, start: Moment
    ) -> tuple[int, RoutedRequest]:
        """Serve until a class is chosen; return the time taken and its request."""
        for waited_ms in itertools.count(0, 100):
            now = start.plus(waited_ms)
            chosen_requests = [policy.choose(POOL, now) for _ in range(slots)]
            for routed in chosen_requests:
                if routed is not None and routed.route.name == name:
                    return waited_ms, routed
            for routed in chosen_requests:
                assert routed is not None
                policy.record_service(routed, 100, now.plus(100))
        raise AssertionError

    def test_burst_after_an_idle_period_is_limited_to_the_floor(self) -> None:
        """Guards against a burst that blocks higher tiers such as chats.

        A class that was idle must not be compensated at once for the share of
        slot time that its floor guarantees and that it didn't use.
        """
        policy = build_fair()
        fill(policy, (2_000, {"name": "high", "tier": 1}))
        serve(policy, 10, 30_000, lambda _: 400, lambda _: "")
        now = START.plus(30_000)
        for number in range(50):
            changes = {"name": "low", "tier": 4, "floor_share": 0.2}
            policy.enqueue(build_routed_request(now, 9_000 + number, **changes), now)
        names = Counter[str]()
        for _ in range(10):
            routed = policy.choose(POOL, now)
            assert routed is not None
            names[routed.route.name] += 1
        self.assertLessEqual(names["low"], 3)

    def test_work_within_its_floor_is_not_preempted(self) -> None:
        """Guards against preemption that takes away the share of a floor.

        Work of a class that is below its floor can only be preempted once the
        share of the class has risen above the floor.
        """
        policy = build_fair()
        low_route = {"name": "low", "tier": 4, "floor_share": 0.1}
        fill(policy, (900, {"name": "high", "tier": 1}), (50, low_route))
        serve(policy, 4, 20_000, lambda _: 500, lambda _: "")
        waited_ms, running_request = self.wait_for(policy, "low", 4, START.plus(20_000))
        now = START.plus(20_000 + waited_ms)
        high_request = build_routed_request(now, 9_999, name="high", tier=1)
        for elapsed_ms, preempts in ((0, False), (5_000, True)):
            with self.subTest(elapsed_ms=elapsed_ms):
                later = now.plus(elapsed_ms)
                self.assertEqual(
                    policy.can_preempt(running_request, high_request, later), preempts
                )

    def test_classes_of_a_tier_share_by_weight(self) -> None:
        policy = build_fair()
        fill(
            policy,
            (900, {"name": "a", "tier": 2, "weight": 3.0}),
            (900, {"name": "b", "tier": 2, "weight": 1.0}),
        )
        used, _ = serve(
            policy, 4, 60_000, lambda _: 500, lambda routed: routed.route.name
        )
        self.assertAlmostEqual(used["a"] / used["b"], 3.0, delta=0.4)


class TeamFairnessTest(unittest.TestCase):
    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(
        large=st.integers(1, 3),
        run_large_ms=st.sampled_from((300, 1_000, 3_000)),
        weight=st.sampled_from((0.5, 1.0, 2.0)),
        slots=st.sampled_from((1, 3, 8)),
    )
    def test_large_teams_leave_a_small_team_its_share(
        self, large: int, run_large_ms: int, weight: float, slots: int
    ) -> None:
        """Guards against large teams, or ones with long runs, crowding others out."""
        policy = build_fair(small=weight)
        teams = [f"large-{index}" for index in range(large)]
        fill(policy, *((700, {"team": team}) for team in teams))
        fill(policy, (900, {"team": "small"}))
        runs = {team: run_large_ms for team in teams} | {"small": 400}
        until_ms = 60_000
        used, _ = serve(
            policy,
            slots,
            until_ms,
            lambda routed: runs[routed.team],
            lambda routed: routed.team,
        )
        fair_ms = until_ms * slots * weight / (weight + large)
        demand_ms = 900 * 400
        one_round_ms = (run_large_ms + 1_000) * (large + weight + slots)
        min_service_ms = min(fair_ms, demand_ms) - 2 * one_round_ms
        self.assertGreater(used["small"], min_service_ms)

    def test_teams_share_by_weight(self) -> None:
        policy = build_fair(large=3.0)
        fill(policy, (500, {"team": "large"}), (500, {"team": "small"}))
        used, _ = serve(policy, 4, 60_000, lambda _: 500, lambda routed: routed.team)
        self.assertAlmostEqual(used["large"] / used["small"], 3.0, delta=0.3)

    def test_team_of_requeued_request_is_served_next(self) -> None:
        """Guards against a preempted request that waits for another round."""
        policy = build_fair()
        teams = ("a", "b", "c", "d")
        fill(policy, *((2, {"team": team}) for team in teams))
        chosen = policy.choose(POOL, START)
        assert chosen is not None
        policy.record_service(chosen, 10, START)
        policy.requeue(chosen, START)
        self.assertEqual(policy.choose(POOL, START), chosen)

    def test_choice_among_teams_of_low_weight_needs_few_estimates(self) -> None:
        """Guards against a cost that grows with the number of skipped rounds.

        A team of low weight has to receive many quanta before it is served;
        visiting all teams for each of them would be slow.
        """
        runs = FixedRunEstimates()
        weights = FixedWeights(**{f"t{index}": 0.01 for index in range(50)})
        policy = TieredFair(weights, runs)
        fill(policy, *((1, {"team": f"t{index}"}) for index in range(50)))
        policy.choose(POOL, START)
        self.assertLess(runs.run_ms_calls, 300)

    def test_requests_on_time_are_served_before_late_ones(self) -> None:
        """Guards against an overload in which every request misses its target.

        This happens if requests are served strictly in order of arrival.
        """
        policy = build_fair()
        for number, arrived_ms in enumerate((0, 100, 400, 500)):
            policy.enqueue(build_routed_request(START.plus(arrived_ms), number), START)
        order = []
        while (routed := policy.choose(POOL, START.plus(600))) is not None:
            order.append(routed.request_id)
            policy.record_service(routed, 0, START)
        expected = [f"request-{number}" for number in (2, 3, 0, 1)]
        self.assertEqual(order, expected)

    def test_full_queue_sheds_a_request_of_the_team_with_most_places(self) -> None:
        """Guards against one team filling the queue that all teams share."""
        policy = build_fair()
        fill(policy, (50, {"team": "large"}), (3, {"team": "small"}))
        small = build_routed_request(START, 99, "small", deadline_ms=10**7)
        self.assertFalse(policy.has_room(small, 10))
        to_shed = policy.find_shed_candidate(small, 10)
        assert to_shed is not None
        self.assertEqual(to_shed.team, "large")
        large = build_routed_request(START, 98, "large", deadline_ms=10**7)
        self.assertIsNone(policy.find_shed_candidate(large, 10))

    def test_state_of_idle_teams_is_bounded(self) -> None:
        """Guards against unbounded memory use with 37,000 teams."""
        policy = build_fair()
        for number in range(MAX_TEAM_DEBTS * 3):
            policy.enqueue(build_routed_request(START, number, f"team-{number}"), START)
            routed = policy.choose(POOL, START)
            assert routed is not None
            policy.record_service(routed, 9_000, START)
        ((_, queues),) = policy._queues_by_pool.items()
        ((_, teams),) = queues.teams_by_route.items()
        self.assertEqual(len(teams._queues_by_team), 0)
        self.assertLessEqual(len(teams._debts_by_team), MAX_TEAM_DEBTS)
        self.assertEqual(len(policy._services_by_id), 0)
