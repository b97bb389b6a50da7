"""What is in force after the store was restored from a copy."""

import unittest
from typing import Any

from figshunt.directory import (
    RELIST_GRACE_MS,
    REMOVED_ENTRY_HOLD_MS,
    RESTORE_GRACE_MS,
    ConfigurationPublished,
    EvacuationPublished,
    PublishedTeam,
    RunnerListed,
    RunnerUnlisted,
    StoreRestored,
)
from figshunt.directory._leaving_processes import KEPT_LEAVING_MS
from figshunt.types import DataCentreName, PoolName, RunnerId, TeamName, Version
from tests.builders import build_configuration, build_published_runner
from tests.dispatch.driver import CoreDriver

LISTING = Version.of(1, 400)
TEAMS = {"key": PublishedTeam(TeamName("t"))}


class RestoreTest(unittest.TestCase):
    """Guards against undoing what a host has acted on, and against missing the rest."""

    def setUp(self) -> None:
        self.driver = CoreDriver(build_published_runner())

    def restore(self, version: Version = LISTING) -> None:
        self.driver.handle(StoreRestored(version))

    def unlist(self, may_be_copied: bool, after_outage: bool = False) -> None:
        runner_id = RunnerId("e1")
        self.driver.handle(
            RunnerUnlisted(LISTING, runner_id, after_outage, may_be_copied)
        )

    def list_runner(
        self, may_be_copied: bool, start: int = 1_000, **changes: Any
    ) -> None:
        entry = build_published_runner(started_wall_ms=start, **changes)
        self.driver.handle(RunnerListed(LISTING, RunnerId("e1"), entry, may_be_copied))

    def evacuate(self, is_evacuated: bool, may_be_copied: bool) -> None:
        data_centre = DataCentreName("a")
        self.driver.handle(
            EvacuationPublished(LISTING, data_centre, is_evacuated, may_be_copied)
        )

    def is_used(self) -> bool:
        return "e1" in self.driver.core.directory.runners(PoolName("engines"))

    def test_runner_that_the_copy_lacks_or_lets_expire_has_a_grace_period(self) -> None:
        """The restored store doesn't know the lease with which a runner renews."""
        for may_be_copied, grace_ms in (
            (True, RESTORE_GRACE_MS),
            (False, RELIST_GRACE_MS),
        ):
            with self.subTest(may_be_copied=may_be_copied):
                self.setUp()
                self.restore()
                self.unlist(may_be_copied)
                self.driver.advance(grace_ms - 1)
                self.assertTrue(self.is_used())
                self.driver.advance(1)
                self.assertFalse(self.is_used())

    def test_later_restore_begins_the_grace_period_again(self) -> None:
        """Guards against removing runners that the second copy lacks as well."""
        for after_outage in (False, True):
            with self.subTest(after_outage=after_outage):
                self.setUp()
                if not after_outage:
                    self.restore()
                self.unlist(not after_outage, after_outage)
                self.driver.advance(1_500)
                self.restore(Version.of(2, 300))
                self.driver.advance(RESTORE_GRACE_MS - 1)
                self.assertTrue(self.is_used())

    def test_draining_process_stays_excluded_until_its_successor(self) -> None:
        self.driver.list_runner(build_published_runner(is_leaving=True))
        self.restore()
        for may_be_copied in (True, False):
            self.list_runner(may_be_copied)
            self.driver.advance(RESTORE_GRACE_MS)
            self.assertFalse(self.is_used())
        self.list_runner(False, 2_000)
        self.assertTrue(self.is_used())

    def test_draining_process_stays_excluded_after_its_entry_was_missing(self) -> None:
        """Guards against a write of "ready" that is read after the removal."""
        for may_be_copied in (True, False):
            with self.subTest(may_be_copied=may_be_copied):
                self.setUp()
                self.driver.list_runner(build_published_runner(is_leaving=True))
                self.restore()
                self.unlist(may_be_copied)
                self.driver.advance(RESTORE_GRACE_MS)
                self.list_runner(False)
                self.driver.advance(KEPT_LEAVING_MS)
                self.assertFalse(self.is_used())
                self.list_runner(False, 2_000)
                self.assertTrue(self.is_used())

    def test_data_centre_stays_in_or_out_until_the_operator_writes(self) -> None:
        for is_out in (True, False):
            self.evacuate(is_out, may_be_copied=False)
            self.restore()
            self.evacuate(not is_out, may_be_copied=True)
            self.assertEqual(not is_out, self.is_used())
            self.evacuate(not is_out, may_be_copied=False)
            self.assertEqual(is_out, self.is_used())
            self.setUp()

    def test_mark_that_may_be_copied_is_applied_after_a_limited_time(self) -> None:
        """Guards against a data centre that is held in or out without end.

        The operator may have written the mark or deleted it since the restore.
        """
        for is_out in (True, False):
            with self.subTest(is_out=is_out):
                self.setUp()
                self.evacuate(is_out, may_be_copied=False)
                self.restore()
                self.evacuate(not is_out, may_be_copied=True)
                self.driver.advance(RESTORE_GRACE_MS - 1)
                self.assertEqual(not is_out, self.is_used())
                self.driver.advance(1)
                self.assertEqual(is_out, self.is_used())

    def test_later_write_replaces_a_held_mark(self) -> None:
        self.restore()
        self.evacuate(True, may_be_copied=True)
        self.evacuate(False, may_be_copied=False)
        self.driver.advance(RESTORE_GRACE_MS)
        self.assertTrue(self.is_used())

    def test_later_restore_begins_the_time_of_a_held_mark_again(self) -> None:
        self.restore()
        self.evacuate(True, may_be_copied=True)
        self.driver.advance(1_500)
        self.restore(Version.of(2, 300))
        self.driver.advance(RESTORE_GRACE_MS - 1)
        self.assertTrue(self.is_used())
        self.driver.advance(1)
        self.assertFalse(self.is_used())

    def test_entry_of_a_removed_runner_is_used_once_the_copy_would_have_expired(
        self,
    ) -> None:
        """Guards against requests to a runner that is gone, and a running one unused.

        The runner may have registered again just before the first listing.
        """
        self.driver.unlist_runner("e1")
        self.restore()
        self.list_runner(may_be_copied=True)
        self.driver.advance(REMOVED_ENTRY_HOLD_MS - 1)
        self.assertFalse(self.is_used())
        self.driver.advance(1)
        self.assertTrue(self.is_used())

    def test_expired_entry_of_a_removed_runner_is_never_used(self) -> None:
        self.driver.unlist_runner("e1")
        self.restore()
        self.list_runner(may_be_copied=True)
        self.unlist(may_be_copied=False)
        self.driver.advance(REMOVED_ENTRY_HOLD_MS)
        self.assertFalse(self.is_used())

    def test_held_entry_keeps_a_lapsed_runner_in_the_end(self) -> None:
        """Guards against a running runner without requests, as its entry is the same.

        It was read before the entry lapsed, and again in the first listing.
        """
        self.driver.unlist_runner("e1", after_outage=True)
        self.restore()
        self.list_runner(may_be_copied=True)
        self.driver.advance(RESTORE_GRACE_MS)
        self.assertTrue(self.is_used())

    def test_entry_that_says_that_a_runner_is_leaving_is_applied_at_once(self) -> None:
        """A process doesn't return from leaving, whenever it wrote the entry."""
        self.restore()
        self.list_runner(may_be_copied=True, is_leaving=True)
        self.assertFalse(self.is_used())

    def test_entry_of_a_later_process_is_applied_at_once(self) -> None:
        self.driver.list_runner(build_published_runner(is_leaving=True))
        self.restore()
        self.list_runner(may_be_copied=True, start=2_000)
        self.assertTrue(self.is_used())

    def test_withdrawn_key_stays_withdrawn(self) -> None:
        """The copy may have the key under the version that is in force."""
        self.driver.publish(build_configuration(version=7))
        self.restore()
        copied = build_configuration(version=7, teams_by_key_sha256=TEAMS)
        self.driver.handle(ConfigurationPublished(LISTING, copied, True))
        self.assertIsNot(copied, self.driver.core.directory.configuration)


if __name__ == "__main__":
    unittest.main()
