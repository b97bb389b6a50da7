"""From which peers hosts read that the store turns away."""

import random
import unittest
from collections import Counter

from figshunt.dispatch import HostStatus
from figshunt.gateway._peer_choice import PeerChoice
from figshunt.types import NO_VERSION, Version
from tests.builders import build_host_status

CHECK_MS = 100
GATHER_MS = 450


def build_fleet(revisions: range) -> list[HostStatus]:
    return [
        build_host_status(f"h{n}", address=f"10.0.0.{n}", revision=n) for n in revisions
    ]


class PeerChoiceTest(unittest.TestCase):
    """Guards against hosts of a large fleet that all read from one peer at once."""

    def test_hosts_that_are_turned_away_choose_different_peers(self) -> None:
        statuses = build_fleet(range(10, 68))
        readers = Counter(
            PeerChoice(random.Random(n)).choose(Version.of(0, 9), False, statuses, 0)
            for n in range(32)
        )
        self.assertLessEqual(max(readers.values()), 6)

    def test_host_that_keeps_up_with_constant_writes_reads_from_no_peer(self) -> None:
        """Guards against a full copy for each host, again and again."""
        choice = PeerChoice(random.Random(1))
        for now_ms in range(0, 10_000, CHECK_MS):
            own = Version.of(0, 1 + now_ms // GATHER_MS * GATHER_MS)
            statuses = build_fleet(range(now_ms - 20, now_ms + 50))
            self.assertIsNone(choice.choose(own, True, statuses, now_ms))

    def test_peer_that_failed_is_not_chosen_again_while_there_is_another(self) -> None:
        """Guards against waiting for the same unreachable peer several times."""
        choice = PeerChoice(random.Random(1))
        statuses = build_fleet(range(5, 7))
        choice.avoid("10.0.0.6", 0)
        self.assertEqual(
            "10.0.0.5", choice.choose(Version.of(0, 1), False, statuses, 0)
        )
        choice.avoid("10.0.0.5", 0)
        self.assertIsNotNone(choice.choose(Version.of(0, 1), False, statuses, 0))

    def test_host_started_again_reads_the_newest_copy(self) -> None:
        """A peer with an older copy may have runners and keys that are gone."""
        for number in range(8):
            choice = PeerChoice(random.Random(number))
            peer = choice.choose(NO_VERSION, False, build_fleet(range(1, 6)), 0)
            self.assertEqual("10.0.0.5", peer)


if __name__ == "__main__":
    unittest.main()
