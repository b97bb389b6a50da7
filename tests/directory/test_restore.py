"""What is in force after the store was restored from a copy."""

import unittest

from figshunt.directory import (
    RELIST_GRACE_MS,
    RESTORE_GRACE_MS,
    ConfigurationPublished,
    EvacuationPublished,
    PublishedTeam,
    RunnerListed,
    RunnerUnlisted,
    StoreRestored,
)
from figshunt.directory._directory_filter import KEPT_START_MS
from figshunt.types import DataCentreName, PoolName, RunnerId, TeamName, Version
from tests.builders import build_configuration, build_published_runner
from tests.dispatch.driver import CoreDriver

COPIED_UNTIL = Version.of(1, 400)
COPIED = Version.of(1, 390)
WRITTEN = Version.of(1, 401)
TEAMS = {"key": PublishedTeam(TeamName("t"))}


class RestoreTest(unittest.TestCase):
    """Guards against undoing what a host has acted on, and against missing the rest."""

    def setUp(self) -> None:
        self.driver = CoreDriver(build_published_runner())

    def restore(self, copied_until: Version = COPIED_UNTIL) -> None:
        self.driver.handle(StoreRestored(copied_until))

    def unlist(self, version: Version, after_outage: bool = False) -> None:
        message = RunnerUnlisted(version, RunnerId("e1"), after_outage)
        self.driver.handle(message)

    def list_runner(self, version: Version, start: int = 1_000) -> None:
        entry = build_published_runner(started_wall_ms=start)
        self.driver.handle(RunnerListed(version, RunnerId("e1"), entry))

    def evacuate(self, version: Version, is_evacuated: bool) -> None:
        message = EvacuationPublished(version, DataCentreName("a"), is_evacuated)
        self.driver.handle(message)

    def is_used(self) -> bool:
        return "e1" in self.driver.core.directory.runners(PoolName("engines"))

    def test_runner_that_the_copy_lacks_or_lets_expire_has_a_grace_period(self) -> None:
        """The restored store doesn't know the lease with which a runner renews."""
        for version, grace_ms in (
            (Version.of(1, 0), RESTORE_GRACE_MS),
            (WRITTEN, RELIST_GRACE_MS),
        ):
            with self.subTest(version=version):
                self.setUp()
                self.restore()
                self.unlist(version)
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
                self.unlist(Version.of(1, 0), after_outage)
                self.driver.advance(1_500)
                self.restore(Version.of(2, 300))
                self.driver.advance(RESTORE_GRACE_MS - 1)
                self.assertTrue(self.is_used())

    def test_draining_process_stays_excluded_until_its_successor(self) -> None:
        self.driver.list_runner(build_published_runner(is_leaving=True))
        self.restore()
        for version in (COPIED, WRITTEN):
            self.list_runner(version)
            self.assertFalse(self.is_used())
        self.list_runner(WRITTEN, 2_000)
        self.assertTrue(self.is_used())

    def test_draining_process_stays_excluded_after_its_entry_was_missing(self) -> None:
        """Guards against a write of "ready" that is read after the removal."""
        for version in (Version.of(1, 0), WRITTEN):
            with self.subTest(version=version):
                self.setUp()
                self.driver.list_runner(build_published_runner(is_leaving=True))
                self.restore()
                self.unlist(version)
                self.driver.advance(RESTORE_GRACE_MS)
                self.list_runner(WRITTEN)
                self.driver.advance(KEPT_START_MS)
                self.assertFalse(self.is_used())
                self.list_runner(WRITTEN, 2_000)
                self.assertTrue(self.is_used())

    def test_data_centre_stays_in_or_out_until_the_operator_writes(self) -> None:
        for is_out in (True, False):
            self.evacuate(Version.of(0, 900), is_out)
            self.restore()
            self.evacuate(COPIED, not is_out)
            self.assertEqual(not is_out, self.is_used())
            self.evacuate(WRITTEN, not is_out)
            self.assertEqual(is_out, self.is_used())
            self.setUp()

    def test_withdrawn_key_stays_withdrawn(self) -> None:
        """The copy may have the key under the version that is in force."""
        self.driver.publish(build_configuration(version=7))
        self.restore()
        copied = build_configuration(version=7, teams_by_key_sha256=TEAMS)
        self.driver.handle(ConfigurationPublished(COPIED, copied))
        self.assertIsNot(copied, self.driver.core.directory.configuration)


if __name__ == "__main__":
    unittest.main()
