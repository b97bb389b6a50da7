"""The configuration and the runners in force."""

import hashlib
import unittest
from dataclasses import replace

from figshunt.directory import (
    RELIST_GRACE_MS,
    ConfigurationUnreadable,
    EvacuationPublished,
    PublishedTeam,
    SourceStateChanged,
)
from figshunt.directory._leaving_processes import KEPT_LEAVING_MS, LeavingProcesses
from figshunt.dispatch import (
    AnswerError,
    ReplyComplete,
    ReplyStarted,
    ReplyVerdict,
    StartCallAttempt,
)
from figshunt.types import DataCentreName, Effect, LogEvent, RunnerId, TeamName, Version
from tests.builders import (
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
    build_reply_head,
)
from tests.dispatch.driver import CoreDriver, select_effects

KEY_SHA256 = hashlib.sha256(b"key-1").hexdigest()


def error_statuses(effects: list[Effect]) -> list[int]:
    return [error.status for error in select_effects(effects, AnswerError)]


class ConfigurationTest(unittest.TestCase):
    """Calls must follow the newest valid configuration that was read."""

    def test_older_configuration_is_ignored(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.publish(build_configuration(version=5))
        driver.publish(build_configuration(build_published_route("old"), version=4))
        self.assertEqual(
            1, len(select_effects(driver.call(build_call()), StartCallAttempt))
        )

    def test_invalid_configuration_changes_nothing(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.handle(ConfigurationUnreadable(Version.of(0, 99), "not JSON"))
        self.assertEqual(
            1, len(select_effects(driver.call(build_call()), StartCallAttempt))
        )

    def test_longest_path_prefix_is_selected(self) -> None:
        driver = CoreDriver(
            build_published_runner("e1"),
            build_published_runner("b1", "bookings"),
            configuration=build_configuration(
                build_published_route(path_prefix="/chat/"),
                build_published_route("inner", path_prefix="/chat/in/"),
            ),
        )
        driver.call(build_call(path="/chat/in/x?y=/chat/"))
        routes = [
            line.fields["route"]
            for line in driver.effects_of(LogEvent)
            if line.event == "call_sent"
        ]
        self.assertEqual(["inner"], routes)

    def test_unknown_route_and_key_get_permanent_errors_only_while_current(
        self,
    ) -> None:
        team = PublishedTeam(TeamName("t"))
        driver = CoreDriver(
            build_published_runner(),
            configuration=build_configuration(
                build_published_route(is_public=False),
                teams_by_key_sha256={KEY_SHA256: team},
            ),
        )
        unknown_route = build_call(path="/none/")
        unknown_key = build_call("r2", caller_key="other")
        self.assertEqual([404], error_statuses(driver.call(unknown_route)))
        self.assertEqual([401], error_statuses(driver.call(unknown_key)))
        driver.handle(SourceStateChanged(False, "store is down"))
        self.assertEqual([503], error_statuses(driver.call(unknown_route)))
        self.assertEqual([503], error_statuses(driver.call(unknown_key)))

    def test_withdrawal_of_the_last_key_closes_all_but_public_routes(self) -> None:
        """Guards against a service that is open to everybody once no key is left."""
        driver = CoreDriver(
            build_published_runner(),
            configuration=build_configuration(
                build_published_route(is_public=False),
                build_published_route("public", path_prefix="/public/"),
                requires_caller_key=True,
            ),
        )
        for caller_key in ("key-1", "never-issued", None):
            with self.subTest(caller_key=caller_key):
                effects = driver.call(build_call(caller_key=caller_key))
                self.assertEqual([401], error_statuses(effects))
        effects = driver.call(build_call(path="/public/1", caller_key=None))
        self.assertEqual(1, len(select_effects(effects, StartCallAttempt)))


class RunnerListTest(unittest.TestCase):
    """Guards against calls to stopped runners and the loss of running ones.

    An outage of the store lets the entries of running runners expire.
    """

    def is_call_sent(self, driver: CoreDriver) -> bool:
        return bool(select_effects(driver.call(build_call()), StartCallAttempt))

    def test_leaving_runner_gets_no_new_calls(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.list_runner(build_published_runner(is_leaving=True))
        self.assertFalse(self.is_call_sent(driver))

    def test_unlisted_runner_gets_no_new_calls(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.unlist_runner("e1")
        self.assertFalse(self.is_call_sent(driver))

    def test_entry_that_expired_in_an_outage_is_kept_for_grace_period(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.unlist_runner("e1", after_outage=True)
        self.assertTrue(self.is_call_sent(driver))
        driver.advance(RELIST_GRACE_MS)
        self.assertFalse(self.is_call_sent(driver))

    def test_runner_that_registers_again_in_grace_period_is_kept(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.unlist_runner("e1", after_outage=True)
        driver.list_runner(build_published_runner())
        driver.advance(RELIST_GRACE_MS)
        self.assertTrue(self.is_call_sent(driver))

    def test_evacuated_data_centre_gets_no_calls_until_it_is_back(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.handle(EvacuationPublished(Version.of(0, 50), DataCentreName("a"), True))
        self.assertFalse(self.is_call_sent(driver))
        driver.handle(
            EvacuationPublished(Version.of(0, 60), DataCentreName("a"), False)
        )
        self.assertTrue(self.is_call_sent(driver))


class AnnouncedLeavingTest(unittest.TestCase):
    """Guards against requests to a runner that said in an answer that it is leaving.

    Its entry may not say so yet, or this host may not be able to read it.
    """

    def setUp(self) -> None:
        self.driver = CoreDriver(
            build_published_runner("e1"), build_published_runner("e2")
        )

    def call(self) -> StartCallAttempt | None:
        attempts = select_effects(self.driver.call(build_call()), StartCallAttempt)
        return attempts[0] if attempts else None

    def answer(self, attempt: StartCallAttempt | None, **changes: object) -> None:
        assert attempt is not None
        head = build_reply_head(**({"announces_leaving": True} | changes))
        self.driver.handle(ReplyComplete(attempt.attempt_id, head, b""))

    def runners_used(self, calls: int = 20) -> set[str]:
        """Return the runners that get some calls, all of which are served."""
        runner_ids = set()
        for _ in range(calls):
            attempt = self.call()
            if attempt is not None:
                runner_ids.add(str(attempt.runner_id))
                self.answer(attempt, announces_leaving=False)
        return runner_ids

    def test_runner_gets_no_call_after_it_said_that_it_leaves(self) -> None:
        for changes in (
            {},
            {"status": 500, "verdict": ReplyVerdict.FAILED},
            {"status": 503, "verdict": ReplyVerdict.REFUSED, "has_receipt": False},
        ):
            with self.subTest(**changes):
                self.setUp()
                attempt = self.call()
                self.answer(attempt, **changes)
                assert attempt is not None
                self.assertNotIn(attempt.runner_id, self.runners_used())

    def test_announcement_in_the_head_of_a_stream_counts(self) -> None:
        attempt = self.call()
        assert attempt is not None
        head = build_reply_head(is_stream=True, announces_leaving=True)
        self.driver.handle(ReplyStarted(attempt.attempt_id, head))
        self.assertNotIn(attempt.runner_id, self.runners_used())

    def test_later_entry_of_the_same_process_does_not_withdraw_it(self) -> None:
        attempt = self.call()
        self.answer(attempt)
        assert attempt is not None
        self.driver.list_runner(build_published_runner(attempt.runner_id))
        self.assertNotIn(attempt.runner_id, self.runners_used())

    def test_new_process_of_the_runner_gets_calls(self) -> None:
        attempt = self.call()
        self.answer(attempt)
        assert attempt is not None
        self.driver.list_runner(
            build_published_runner(attempt.runner_id, started_wall_ms=9_999)
        )
        self.assertIn(attempt.runner_id, self.runners_used())

    def test_late_write_after_the_removal_does_not_bring_the_process_back(self) -> None:
        """Guards against calls to a leaving runner whose last heartbeat comes late."""
        attempt = self.call()
        self.answer(attempt)
        assert attempt is not None
        entry = build_published_runner(attempt.runner_id)
        for _ in range(2):
            self.driver.unlist_runner(attempt.runner_id)
            self.driver.advance(KEPT_LEAVING_MS - 1)
            self.driver.list_runner(entry)
            self.assertNotIn(attempt.runner_id, self.runners_used())
        self.driver.advance(KEPT_LEAVING_MS)
        self.assertNotIn(attempt.runner_id, self.runners_used())
        self.driver.unlist_runner(attempt.runner_id)
        self.driver.list_runner(replace(entry, started_wall_ms=9_999))
        self.assertIn(attempt.runner_id, self.runners_used())

    def test_announcement_after_the_removal_counts(self) -> None:
        """The last answers of a runner may come after its entry was removed."""
        attempt = self.call()
        assert attempt is not None
        self.driver.unlist_runner(attempt.runner_id)
        self.answer(attempt)
        self.driver.list_runner(build_published_runner(attempt.runner_id))
        self.assertNotIn(attempt.runner_id, self.runners_used())

    def test_late_write_does_not_undo_a_draining_entry(self) -> None:
        """Guards against calls to a draining runner whose earlier write comes late."""
        for is_removed in (False, True):
            with self.subTest(is_removed=is_removed):
                self.setUp()
                self.driver.list_runner(build_published_runner("e1", is_leaving=True))
                if is_removed:
                    self.driver.unlist_runner("e1")
                self.driver.list_runner(build_published_runner("e1"))
                self.assertEqual({"e2"}, self.runners_used())

    def test_runner_without_a_start_that_was_removed_gets_calls(self) -> None:
        """Nothing tells its next process from the one that left."""
        entry = build_published_runner("e1", started_wall_ms=None)
        self.driver.list_runner(entry)
        self.driver.unlist_runner("e2")
        self.answer(self.call())
        self.assertEqual(set(), self.runners_used())
        self.driver.unlist_runner("e1")
        self.driver.list_runner(entry)
        self.assertEqual({"e1"}, self.runners_used())

    def test_removed_processes_are_forgotten_in_the_end(self) -> None:
        """Guards against memory that grows with each runner that was replaced."""
        processes = LeavingProcesses()
        for number in range(100):
            runner_id = RunnerId(f"e{number}")
            processes.record(runner_id, number)
            processes.record_removal(runner_id, number)
        processes.expire(KEPT_LEAVING_MS + 49)
        self.assertEqual(50, len(processes))

    def test_announcement_of_another_process_at_its_address_does_not_count(
        self,
    ) -> None:
        for changes in (
            {"matches_request": False},
            {"status": 421, "verdict": ReplyVerdict.WRONG_RUNNER},
        ):
            with self.subTest(**changes):
                self.setUp()
                self.answer(self.call(), **changes)
                events = [line.event for line in self.driver.effects_of(LogEvent)]
                self.assertIn("send_ended", events)
                self.assertNotIn("runner_announced_leaving", events)


if __name__ == "__main__":
    unittest.main()
