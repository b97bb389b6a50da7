"""Hosts together bound what a request that crashes its runners can do."""

import unittest

from figshunt.dispatch import Call
from tests.dispatch.crash_fleet import (
    MAX_LATE_REQUESTS,
    CrashFleet,
    FleetRunner,
    has_part,
)

CRASH_MS = 100


def crash_on_content(call: Call, runner: FleetRunner) -> int | None:
    return CRASH_MS if call.fingerprint == "deadly" else None


def crash_on_some_runners(call: Call, runner: FleetRunner) -> int | None:
    is_prone = int(runner.entry.address[1:]) % 2 == 0
    return CRASH_MS if call.fingerprint == "deadly" and is_prone else None


def crash_on_part(call: Call, runner: FleetRunner) -> int | None:
    return CRASH_MS if has_part(call, "deadly") else None


class CrashFleetTest(unittest.TestCase):
    """Guards against crashes that don't add up over hosts and time."""

    SEEDS = range(8)

    def send_for(self, fleet: CrashFleet, seconds: int, per_s: int = 2) -> None:
        """Send deadly requests at all hosts beside sound ones of other contents."""
        for number in range(seconds * per_s):
            fleet.call("deadly", "shared")
            for sound in range(6):
                fleet.call(f"sound-{fleet.now_ms}-{sound}", "shared")
                fleet.run(1_000 // per_s // 6)

    def test_content_is_bounded(self) -> None:
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(crash_on_content, seed=seed)
                self.send_for(fleet, 30)
                self.assertLessEqual(fleet.late_contents("deadly"), MAX_LATE_REQUESTS)

    def test_content_that_crashes_some_runners_is_bounded(self) -> None:
        """Other runners serve it between the crashes."""
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(crash_on_some_runners, seed=seed)
                self.send_for(fleet, 30)
                self.assertLessEqual(fleet.late_contents("deadly"), MAX_LATE_REQUESTS)

    def test_crashes_while_the_store_is_silent_are_counted_later(self) -> None:
        """No entry tells of the ends of runners until it is back."""
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(crash_on_content, hosts=8, seed=seed)
                fleet.set_store(False)
                for host in fleet.hosts[:6]:
                    fleet.call("deadly", host=host)
                    fleet.run(2_000)
                fleet.set_store(True)
                fleet.run(4_000)
                for _ in range(4):
                    for host in fleet.hosts:
                        fleet.call("deadly", host=host)
                    fleet.run(1_000)
                self.assertLessEqual(fleet.late_contents("deadly"), MAX_LATE_REQUESTS)

    def test_hosts_that_were_cut_off_for_a_moment_learn_what_is_refused(self) -> None:
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(crash_on_content, hosts=8, seed=seed)
                fleet.cut_hosts = set(fleet.hosts[1:])
                for _ in range(4):
                    fleet.call("deadly", host=fleet.hosts[0])
                    fleet.run(500)
                fleet.cut_hosts = set()
                fleet.run(3_000)
                for host in fleet.hosts:
                    fleet.call("deadly", host=host)
                    fleet.run(500)
                self.assertLessEqual(fleet.late_contents("deadly"), MAX_LATE_REQUESTS)

    def test_content_is_bounded_though_datagrams_are_lost(self) -> None:
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(crash_on_content, hosts=8, seed=seed)
                fleet.loss_share = 0.5
                self.send_for(fleet, 30, per_s=3)
                self.assertLessEqual(fleet.late_contents("deadly"), MAX_LATE_REQUESTS)


if __name__ == "__main__":
    unittest.main()
