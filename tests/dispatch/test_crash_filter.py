"""Requests whose content crashes runners are refused on every host."""

import unittest

from figshunt.dispatch import (
    AnswerError,
    BroadcastStatus,
    Call,
    CallAttemptFailed,
    PeerStatusReceived,
    StartCallAttempt,
)
from figshunt.types import AttemptFailure, Fingerprint, SendState
from tests.builders import build_call, build_host_status, build_published_runner
from tests.dispatch.driver import CoreDriver, select_effects


def build_crashing_call(call_id: str) -> Call:
    return build_call(call_id, "/book/1", fingerprint=Fingerprint("poison"))


class CrashFilterTest(unittest.TestCase):
    """Guards against a retried request that crashes one runner after another."""

    def crash_runner(self, driver: CoreDriver, call_id: str) -> str:
        driver.call(build_crashing_call(call_id))
        attempt = driver.last_attempt()
        driver.handle(
            CallAttemptFailed(
                attempt.attempt_id,
                AttemptFailure.CONNECTION_LOST,
                SendState.MAY_HAVE_ARRIVED,
                "reset",
            )
        )
        driver.unlist_runner(attempt.runner_id)
        return attempt.runner_id

    def build_driver(self) -> CoreDriver:
        return CoreDriver(
            *(build_published_runner(f"b{n}", "bookings") for n in range(4))
        )

    def test_content_is_refused_after_two_crashes(self) -> None:
        driver = self.build_driver()
        self.crash_runner(driver, "r1")
        self.crash_runner(driver, "r2")
        effects = driver.call(build_crashing_call("r3"))
        self.assertEqual([], select_effects(effects, StartCallAttempt))
        self.assertEqual(503, select_effects(effects, AnswerError)[0].status)

    def test_other_content_is_served(self) -> None:
        driver = self.build_driver()
        self.crash_runner(driver, "r1")
        self.crash_runner(driver, "r2")
        effects = driver.call(build_call("r4", "/book/1"))
        self.assertEqual(1, len(select_effects(effects, StartCallAttempt)))

    def test_lost_connections_alone_do_not_count_as_crashes(self) -> None:
        driver = self.build_driver()
        for number in range(5):
            driver.call(build_crashing_call(f"r{number}"))
            driver.handle(
                CallAttemptFailed(
                    driver.last_attempt().attempt_id,
                    AttemptFailure.CONNECTION_LOST,
                    SendState.MAY_HAVE_ARRIVED,
                    "reset",
                )
            )
        self.assertEqual(5, len(driver.effects_of(StartCallAttempt)))

    def test_peers_refuse_content_after_crash_reports(self) -> None:
        driver, peer = self.build_driver(), self.build_driver()
        self.crash_runner(driver, "r1")
        self.crash_runner(driver, "r2")
        crash_reports = [
            crash
            for effect in driver.effects_of(BroadcastStatus)
            for crash in effect.crash_reports
        ]
        peer.handle(
            PeerStatusReceived(build_host_status(crash_reports=tuple(crash_reports)))
        )
        self.assertEqual(
            [], select_effects(peer.call(build_crashing_call("r5")), StartCallAttempt)
        )


if __name__ == "__main__":
    unittest.main()
