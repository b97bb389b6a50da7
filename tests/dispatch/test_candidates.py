"""The choice of the few runners of a large pool that a call is compared at."""

import unittest
from unittest import mock

from figshunt.directory import PublishedRoute
from figshunt.dispatch import (
    AnswerError,
    OccupancyNotice,
    PeerStatusReceived,
    ReplyComplete,
    ReplyVerdict,
    SilenceNotice,
    StartCallAttempt,
)
from figshunt.dispatch.placement import _placement_filter
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

SMALL_POOL = 5
LARGE_POOL = 128
CALLS = 40


def build_driver(runners: int, *routes: PublishedRoute) -> CoreDriver:
    """Return a host that knows so many engines."""
    return CoreDriver(
        *(
            build_published_runner(f"e{number}", data_centre="ab"[number % 2])
            for number in range(runners)
        ),
        configuration=build_configuration(*routes),
    )


def tell_full(driver: CoreDriver, runner_ids: list[str], priority: int = 0) -> None:
    """Tell from a peer that it has taken all slots of the engines."""
    notices = [OccupancyNotice(RunnerId(name), priority, 64, 64) for name in runner_ids]
    driver.handle(PeerStatusReceived(build_host_status(occupancies=tuple(notices))))


class EstimateCountTest(unittest.TestCase):
    """Guards against estimates at each engine of a large pool."""

    def count_estimates(self, driver: CoreDriver, calls: int = CALLS) -> int:
        """Return the most estimates that a call took."""
        most = 0
        for number in range(calls):
            prompt = build_prompt(3_000, (f"a{number % 4}", 1_000), name=f"o{number}")
            call = build_call(f"r{number}", prompt=prompt)
            with mock.patch.object(
                _placement_filter,
                "estimate_engine",
                wraps=_placement_filter.estimate_engine,
            ) as estimate:
                driver.call(call)
            most = max(most, estimate.call_count)
            driver.clock.advance(20)
        return most

    def test_large_pool_takes_at_most_twice_the_estimates_of_a_small_one(self) -> None:
        small = self.count_estimates(build_driver(SMALL_POOL))
        self.assertEqual(SMALL_POOL, small)
        self.assertLessEqual(self.count_estimates(build_driver(LARGE_POOL)), 2 * small)

    def test_nearly_full_pool_takes_no_more(self) -> None:
        driver = build_driver(LARGE_POOL)
        tell_full(driver, [f"e{number}" for number in range(LARGE_POOL - 20)])
        self.assertLessEqual(self.count_estimates(driver), 2 * SMALL_POOL)

    def test_call_that_was_refused_takes_no_more(self) -> None:
        driver = build_driver(LARGE_POOL)
        driver.call(build_call("r1", prompt=build_prompt()))
        refusal = build_reply_head(503, verdict=ReplyVerdict.REFUSED)
        with mock.patch.object(
            _placement_filter,
            "estimate_engine",
            wraps=_placement_filter.estimate_engine,
        ) as estimate:
            attempt_id = driver.last_attempt().attempt_id
            driver.handle(ReplyComplete(attempt_id, refusal, b""))
        self.assertEqual(2, len(driver.effects_of(StartCallAttempt)))
        self.assertLessEqual(estimate.call_count, 2 * SMALL_POOL)


class RoomTest(unittest.TestCase):
    """Guards against calls that are held although an engine has room."""

    def test_only_engine_with_room_is_found(self) -> None:
        driver = build_driver(LARGE_POOL)
        tell_full(driver, [f"e{number}" for number in range(LARGE_POOL - 1)])
        driver.call(build_call(prompt=build_prompt()))
        self.assertEqual(f"e{LARGE_POOL - 1}", driver.last_attempt().runner_id)

    def test_engine_that_fails_is_not_preferred_for_its_free_slots(self) -> None:
        driver = build_driver(LARGE_POOL)
        tell_full(driver, [f"e{number}" for number in range(LARGE_POOL - 1)], 9)
        silence = SilenceNotice(RunnerId(f"e{LARGE_POOL - 1}"), 2_000)
        for host in ("h2", "h3"):
            status = build_host_status(host, silences=(silence,))
            driver.handle(PeerStatusReceived(status))
        driver.call(build_call(prompt=build_prompt()))
        self.assertNotEqual(silence.runner_id, driver.last_attempt().runner_id)

    def test_holder_of_a_prefix_is_chosen_until_it_leaves(self) -> None:
        driver = build_driver(
            LARGE_POOL, build_published_route(target_ms=1_500, gap_target_ms=None)
        )
        shared = ("shared", 6_000)
        runner_ids = []
        for number in range(4):
            prompt = build_prompt(6_500, shared, name=f"own{number}")
            driver.call(build_call(f"r{number}", prompt=prompt))
            attempt = driver.last_attempt()
            runner_ids.append(attempt.runner_id)
            driver.handle(ReplyComplete(attempt.attempt_id, build_reply_head(), b""))
            driver.advance(1_000)
        self.assertEqual(1, len(set(runner_ids)))
        driver.unlist_runner(runner_ids[0])
        driver.call(build_call("r9", prompt=build_prompt(6_500, shared)))
        self.assertNotEqual(runner_ids[0], driver.last_attempt().runner_id)
        self.assertEqual([], driver.effects_of(AnswerError))


if __name__ == "__main__":
    unittest.main()
