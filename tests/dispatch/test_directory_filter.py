"""Which configuration and runners are in force."""

import hashlib
import unittest

from figshunt.directory import (
    RELIST_GRACE_MS,
    ConfigurationUnreadable,
    EvacuationPublished,
    PublishedTeam,
    SourceStateChanged,
)
from figshunt.dispatch import AnswerError, SendCall
from figshunt.types import DataCentreName, Effect, TeamName
from tests.builders import (
    build_call,
    build_configuration,
    build_published_route,
    build_published_runner,
)
from tests.dispatch.driver import CoreDriver, select

KEY_SHA256 = hashlib.sha256(b"key-1").hexdigest()


def statuses(effects: list[Effect]) -> list[int]:
    return [error.status for error in select(effects, AnswerError)]


class ConfigurationTest(unittest.TestCase):
    """Guards against answers by a configuration that is older than another."""

    def test_older_version_is_dropped(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.publish(build_configuration(version=5))
        driver.publish(build_configuration(build_published_route("old"), version=4))
        self.assertEqual(1, len(select(driver.call(build_call()), SendCall)))

    def test_unreadable_configuration_changes_nothing(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.feed(ConfigurationUnreadable(99, "not JSON"))
        self.assertEqual(1, len(select(driver.call(build_call()), SendCall)))

    def test_longest_prefix_is_chosen(self) -> None:
        driver = CoreDriver(
            build_published_runner("e1"),
            build_published_runner("b1", "bookings"),
            configuration=build_configuration(
                build_published_route(path_prefix="/chat/"),
                build_published_route("inner", path_prefix="/chat/in/", urgency=3),
            ),
        )
        driver.call(build_call(path="/chat/in/x?y=/chat/"))
        self.assertEqual(3, driver.last_send().priority)

    def test_unknown_route_and_key_are_refused_for_good_only_if_current(self) -> None:
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
        self.assertEqual([404], statuses(driver.call(unknown_route)))
        self.assertEqual([401], statuses(driver.call(unknown_key)))
        driver.feed(SourceStateChanged(False, "store is down"))
        self.assertEqual([503], statuses(driver.call(unknown_route)))
        self.assertEqual([503], statuses(driver.call(unknown_key)))


class RunnerListTest(unittest.TestCase):
    """Guards against work for runners that leave, and against losing the others."""

    def is_served(self, driver: CoreDriver) -> bool:
        return bool(select(driver.call(build_call()), SendCall))

    def test_leaving_runner_gets_no_new_work(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.list_runner(build_published_runner(is_leaving=True))
        self.assertFalse(self.is_served(driver))

    def test_unlisted_runner_gets_no_new_work(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.unlist_runner("e1")
        self.assertFalse(self.is_served(driver))

    def test_runner_that_lapsed_in_an_outage_gets_time_to_list_itself(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.unlist_runner("e1", after_outage=True)
        self.assertTrue(self.is_served(driver))
        driver.pass_time(RELIST_GRACE_MS)
        self.assertFalse(self.is_served(driver))

    def test_lapsed_runner_that_lists_itself_again_stays(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.unlist_runner("e1", after_outage=True)
        driver.list_runner(build_published_runner())
        driver.pass_time(RELIST_GRACE_MS)
        self.assertTrue(self.is_served(driver))

    def test_data_centre_that_is_out_gets_no_work_until_it_is_back(self) -> None:
        driver = CoreDriver(build_published_runner())
        driver.feed(EvacuationPublished(50, DataCentreName("a"), True))
        self.assertFalse(self.is_served(driver))
        driver.feed(EvacuationPublished(60, DataCentreName("a"), False))
        self.assertTrue(self.is_served(driver))


if __name__ == "__main__":
    unittest.main()
