"""Statuses and notices of 5 to 330 hosts, in virtual time."""

import unittest

from figshunt.exchange import Bundle, BundlePurpose
from figshunt.exchange._members import MAX_MEMBERS
from tests.builders import build_host_status
from tests.exchange.fleet import ExchangeFleet, ExchangeHost

START_MS = 6_000
# Time in which all hosts see that a relay is silent, and a heartbeat crosses.
FAILOVER_MS = 4_000
FORWARD_MS = 200
FLEETS = ((5, 4), (31, 4), (78, 6), (330, 19))


class StatusExchangeTest(unittest.TestCase):
    """Guards against hosts that do not hear of others, and against floods."""

    def count_missed(
        self, fleet: ExchangeFleet, senders: list[ExchangeHost], name: str
    ) -> int:
        """Send a notice from each sender; return how many receivers lack one."""
        for number, sender in enumerate(senders):
            fleet.notify(sender, f"{name}-{number}")
        fleet.run(FORWARD_MS)
        missed = 0
        for number, sender in enumerate(senders):
            for host in fleet.living_hosts:
                if host is not sender:
                    count = host.received_notices[f"{name}-{number}"]
                    self.assertLessEqual(count, 1)
                    missed += count == 0
        return missed

    def test_all_hosts_know_each_other_after_a_start_at_once(self) -> None:
        for hosts, data_centres in FLEETS:
            with self.subTest(hosts=hosts):
                fleet = ExchangeFleet(hosts, data_centres)
                fleet.run(START_MS)
                for host in fleet.hosts:
                    self.assertEqual(hosts, host.exchange.known_hosts(fleet.now))

    def test_notice_reaches_every_host_once(self) -> None:
        for hosts, data_centres in FLEETS:
            with self.subTest(hosts=hosts):
                fleet = ExchangeFleet(hosts, data_centres)
                fleet.run(START_MS)
                self.assertEqual(0, self.count_missed(fleet, fleet.hosts[::7], "n"))

    def test_datagrams_of_a_host_do_not_grow_with_the_fleet(self) -> None:
        """All data centres have 13 hosts, so that only their number grows."""
        means = []
        for data_centres in (6, 25):
            fleet = ExchangeFleet(13 * data_centres, data_centres)
            fleet.run(START_MS)
            for host in fleet.hosts:
                host.sent_datagrams = 0
            fleet.run(4_000)
            sent = sum(host.sent_datagrams for host in fleet.hosts)
            means.append(sent / len(fleet.hosts))
        # Relays send to one more host for each further data centre.
        self.assertLess(means[1], 2 * means[0])

    def test_hosts_with_slow_links_are_no_relays_beside_faster_ones(self) -> None:
        """Guards against hosts whose links are full of what they forward.

        The requests that they serve would be seconds late.
        """
        fleet = ExchangeFleet(78, 3, fast_hosts=6)
        fleet.run(START_MS)
        for host in fleet.hosts:
            host.sent_datagrams = 0
        for _ in range(20):
            for host in fleet.hosts:
                fleet.notify(host, "n")
            fleet.run(FORWARD_MS)
        slow_hosts, fast_hosts = fleet.hosts[:-6], fleet.hosts[-6:]
        most_of_slow = max(host.sent_datagrams for host in slow_hosts)
        self.assertLess(10 * most_of_slow, max(h.sent_datagrams for h in fast_hosts))

    def test_relays_with_fast_links_are_replaced_by_the_next_fastest(self) -> None:
        fleet = ExchangeFleet(78, 3, fast_hosts=6)
        fleet.run(START_MS)
        relays = [host for host in fleet.hosts if host.exchange.is_relay(fleet.now)]
        fleet.down = {relay.address for relay in relays}
        fleet.run(FAILOVER_MS)
        successors = [
            host for host in fleet.living_hosts if host.exchange.is_relay(fleet.now)
        ]
        self.assertEqual([200] * 3, [host.link_mbps for host in successors])
        self.assertEqual(0, self.count_missed(fleet, fleet.living_hosts[::7], "n"))

    def test_silent_relays_are_replaced(self) -> None:
        fleet = ExchangeFleet(78, 6)
        fleet.run(START_MS)
        relays = [host for host in fleet.hosts if host.exchange.is_relay(fleet.now)]
        self.assertEqual(6, len(relays))
        fleet.down = {relay.address for relay in relays}
        fleet.run(FAILOVER_MS)
        self.assertEqual(0, self.count_missed(fleet, fleet.living_hosts[::7], "n"))

    def test_restarted_fleet_and_healed_halves_find_each_other(self) -> None:
        fleet = ExchangeFleet(78, 6)
        fleet.run(START_MS)
        fleet.side_by_address = {
            host.address: number % 2 for number, host in enumerate(fleet.hosts)
        }
        fleet.run(20_000)
        fleet.side_by_address = {}
        fleet.run(START_MS)
        self.assertEqual(0, self.count_missed(fleet, fleet.hosts[::7], "n"))

    def test_new_host_is_known_to_all_although_a_seed_is_down(self) -> None:
        fleet = ExchangeFleet(78, 6)
        newcomer = fleet.hosts[-1]
        fleet.down = {fleet.hosts[0].address, newcomer.address}
        fleet.run(START_MS)
        fleet.down.discard(newcomer.address)
        newcomer.next_heartbeat_ms = fleet.now.monotonic_ms
        fleet.run(FAILOVER_MS)
        for host in fleet.living_hosts:
            self.assertEqual(77, host.exchange.known_hosts(fleet.now))

    def test_made_up_hosts_do_not_fill_the_memory(self) -> None:
        fleet = ExchangeFleet(5, 4)
        fleet.run(START_MS)
        receiver = fleet.hosts[0]
        for number in range(3 * MAX_MEMBERS):
            status = build_host_status(f"made-up-{number}")
            bundle = Bundle(
                status.host, status.data_centre, BundlePurpose.FORWARD, (status,)
            )
            receiver.exchange.receive(bundle, fleet.now)
        self.assertLessEqual(len(receiver.exchange.members), MAX_MEMBERS)

    def test_lossy_links_lose_few_notices_and_no_relay(self) -> None:
        fleet = ExchangeFleet(78, 6)
        fleet.run(START_MS)
        fleet.loss_share = 0.02
        fleet.run(4_000)
        senders = fleet.hosts[::7]
        missed = self.count_missed(fleet, senders, "n")
        # A notice passes at most three links; twice the mean is left for chance.
        self.assertLess(missed, 2 * 3 * 0.02 * len(senders) * 77)


if __name__ == "__main__":
    unittest.main()
