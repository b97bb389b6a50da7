"""Hosts together bound what a request that crashes its runners can do."""

import random
import unittest

from figshunt.dispatch import Call
from tests.dispatch.crash_fleet import (
    MAX_LATE_REQUESTS,
    WINDOW_MS,
    CrashFleet,
    FleetRunner,
    has_part,
)

CRASH_MS = 100

# A sound part that several causes made suspect is served again within twice the
# users' window.
MAX_WRONG_REFUSAL_MS = 2 * WINDOW_MS

# The first trials come 1 s and 2 s after the crash before, the third a minute later.
MAX_TRIALS_IN_20_S = 2


def crash_on_content(call: Call, runner: FleetRunner) -> int | None:
    return CRASH_MS if call.fingerprint == "deadly" else None


def crash_on_some_runners(call: Call, runner: FleetRunner) -> int | None:
    is_prone = int(runner.entry.address[1:]) % 2 == 0
    return CRASH_MS if call.fingerprint == "deadly" and is_prone else None


def crash_on_part(call: Call, runner: FleetRunner) -> int | None:
    return CRASH_MS if has_part(call, "deadly") else None


def crash_on_part_at_some_runners(call: Call, runner: FleetRunner) -> int | None:
    is_prone = int(runner.entry.address[1:]) % 2 == 0
    return CRASH_MS if has_part(call, "deadly") and is_prone else None


def run_drawn_scenario(
    seed: int, half_of_runners: bool = False
) -> tuple[CrashFleet, list[str]]:
    """Play 30 s of a fleet with causes and disturbances drawn from a seed.

    :param half_of_runners: whether the causes crash only half of the runners.
    """
    rng = random.Random(seed)
    causes = rng.sample(["content-1", "content-2", "part-1"], rng.randint(1, 3))
    crash_ms = rng.choice([5, 100, 280, 2_000])

    def crash_on_causes(call: Call, runner: FleetRunner) -> int | None:
        parts = call.prompt.parts if call.prompt else ()
        found = {call.fingerprint, *(part.part_id for part in parts)}
        is_prone = not half_of_runners or int(runner.entry.address[1:]) % 2 == 0
        return crash_ms if found.intersection(causes) and is_prone else None

    fleet = CrashFleet(crash_on_causes, hosts=rng.choice([2, 4, 8]), seed=seed)
    fleet.loss_share = rng.choice([0.0, 0.03, 0.3])
    disturbances = {
        rng.randrange(60): rng.choice(["store", "cut", "restart"]) for _ in range(3)
    }
    for step in range(60):
        match disturbances.get(step):
            case "store":
                fleet.set_store(False)
            case "cut":
                fleet.cut_hosts = {rng.choice(fleet.hosts)}
            case "restart":
                fleet.start_host(rng.choice(fleet.hosts))
        if step % 10 == 9:
            fleet.set_store(True)
            fleet.cut_hosts = set()
        cause = rng.choice(causes)
        route = rng.choice(["note", "chat"])
        content = cause if cause.startswith("content") else f"x{step}"
        fleet.call(content, "shared", cause, route=route)
        for number in range(4):
            fleet.call(f"sound-{step}-{number}", "shared", route=route)
            fleet.run(125)
    return fleet, causes


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

    def test_part_that_crashes_some_runners_is_bounded(self) -> None:
        """No two requests with the part are alike, and half of them are served."""
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(crash_on_part_at_some_runners, seed=seed)
                for number in range(60):
                    fleet.call(f"deadly-{number}", "shared", "deadly")
                    for sound in range(6):
                        fleet.call(f"sound-{number}-{sound}", "shared")
                        fleet.run(80)
                self.assertLessEqual(fleet.late_parts("deadly"), MAX_LATE_REQUESTS)

    def test_part_that_was_sound_before_is_bounded(self) -> None:
        """Many hosts saw it succeed before it began to crash runners."""
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(lambda call, runner: None, hosts=8, seed=seed)
                for number in range(240):
                    fleet.call(f"early-{number}", "shared", "deadly")
                    fleet.run(25)
                fleet.run(1_000)
                fleet.crasher = crash_on_part
                for number in range(40):
                    fleet.call(f"late-{number}", "shared", "deadly")
                    fleet.run(500)
                self.assertLessEqual(fleet.late_parts("deadly"), MAX_LATE_REQUESTS)

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

    def test_host_that_missed_all_datagrams_learns_what_is_refused(self) -> None:
        """The others hear its status, which shows that it knows something else."""
        fleet = CrashFleet(crash_on_content)
        deaf_host = fleet.hosts[-1]
        fleet.cut_hosts = {deaf_host}
        for host in fleet.hosts[:2]:
            fleet.call("deadly", host=host)
            fleet.run(200)
        fleet.run(1_500)
        fleet.cut_hosts = set()
        fleet.run(1_500)
        arrivals = len(fleet.arrivals)
        fleet.call("deadly", host=deaf_host)
        self.assertEqual(arrivals, len(fleet.arrivals))

    def test_sound_part_of_deadly_contents_is_served_again(self) -> None:
        """Two contents crash runners, so that more crashes speak against the part."""
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                fleet = CrashFleet(crash_on_content, seed=seed)
                self.crash_by_two_contents(fleet)
                since_ms = fleet.now_ms + MAX_WRONG_REFUSAL_MS
                for number in range(60):
                    fleet.call(f"sound-{number}", "shared")
                    fleet.run(300)
                self.assertEqual([], fleet.refused_since(since_ms, without="deadly"))

    def crash_by_two_contents(self, fleet: CrashFleet) -> None:
        fleet.crasher = lambda call, runner: (
            CRASH_MS if call.fingerprint.startswith("deadly") else None
        )
        for number in range(3):
            for content in ("deadly", "deadly-too"):
                fleet.call(content, "shared", host=fleet.hosts[number])
                fleet.run(500)

    def test_part_is_tried_by_one_host_at_a_time(self) -> None:
        fleet = CrashFleet(crash_on_part, hosts=8)
        for number in range(4):
            fleet.call(f"x{number}", "shared", "deadly", host=fleet.hosts[number])
            fleet.run(1_000)
        crashes = len(fleet.crashes)
        for number in range(200):
            for host in fleet.hosts:
                fleet.call(f"y{number}-{host}", "shared", "deadly", host=host)
            fleet.run(100)
        self.assertLessEqual(len(fleet.crashes) - crashes, MAX_TRIALS_IN_20_S)

    def test_drawn_causes_and_disturbances(self) -> None:
        """Contents and parts crash runners while hosts, links and the store fail."""
        for seed in (*range(6), 33):
            with self.subTest(seed=seed):
                self.check_bound(*run_drawn_scenario(seed))

    def test_drawn_causes_that_crash_half_of_the_runners(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                self.check_bound(*run_drawn_scenario(seed, half_of_runners=True))

    def check_bound(self, fleet: CrashFleet, causes: list[str]) -> None:
        for cause in causes:
            late = max(fleet.late_contents(cause), fleet.late_parts(cause))
            self.assertLessEqual(late, MAX_LATE_REQUESTS)


if __name__ == "__main__":
    unittest.main()
