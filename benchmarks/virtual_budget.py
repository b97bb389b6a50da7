"""Hosts that share a retry budget by status messages, in virtual time."""

import random
from collections.abc import Callable
from dataclasses import replace

from figshunt.dispatch import HostStatus, PeerFilter, PeerStatusReceived, SharedBounds
from figshunt.dispatch.attempt._shared_budget import SharedRetryBudget
from figshunt.types import HostName, Moment, PoolName, TimerDue
from tests.builders import build_host_status

POOL = PoolName("bookings")
STEP_MS = 20
HEARTBEAT_MS = 1_000
MIN_DELAY_MS = 15
MAX_DELAY_MS = 75


class BudgetHost:
    """One process of a host."""

    def __init__(self, name: str, incarnation: int, bounds: SharedBounds) -> None:
        self.peers = PeerFilter(HostName(name), expects_peers=True)
        self.budget = SharedRetryBudget(HostName(name), self.peers, bounds)
        self.status = build_host_status(name, incarnation=incarnation)

    def receive(self, status: HostStatus, now: Moment) -> None:
        """Process the status of a peer."""
        for output in self.peers.process(PeerStatusReceived(status), now):
            if isinstance(output, PeerStatusReceived):
                self.budget.record_status(output.status, now)


class BudgetFleet:
    """Drives the hosts, and records the times of their requests and retries.

    ``delivers`` tells whether a datagram from one host number to another arrives.
    """

    def __init__(self, hosts: int, bounds: SharedBounds, seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.delivers: Callable[[int, int], bool] = lambda sender, receiver: True
        self.requests_ms: list[int] = []
        self.repeats_ms: list[int] = []
        self.now_ms = 0
        self._bounds = bounds
        self._hosts = [BudgetHost(f"h{n}", 1, bounds) for n in range(hosts)]
        self._phases_ms = [
            self.random.randrange(0, HEARTBEAT_MS, STEP_MS) for _ in self._hosts
        ]
        self._deliveries: dict[int, list[tuple[int, HostStatus]]] = {}

    def restart(self, number: int) -> None:
        """Replace the process of a host."""
        status = self._hosts[number].status
        self._hosts[number] = BudgetHost(
            status.host, status.incarnation + 1, self._bounds
        )

    def request(self, number: int, refusals: int) -> None:
        """Send a request, and again after each refusal if the budget allows it."""
        now, budget = Moment(self.now_ms, 0), self._hosts[number].budget
        budget.record_request(POOL, now)
        self.requests_ms.append(self.now_ms)
        for _ in range(refusals):
            if not budget.take(POOL, now):
                break
            self.repeats_ms.append(self.now_ms)

    def run(self, duration_ms: int, act: Callable[[], None] = lambda: None) -> None:
        """Advance the time, and act in each step."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            now = Moment(self.now_ms, 0)
            for receiver, status in self._deliveries.pop(self.now_ms, ()):
                self._hosts[receiver].receive(status, now)
            for number, host in enumerate(self._hosts):
                if (self.now_ms + self._phases_ms[number]) % HEARTBEAT_MS == 0:
                    list(host.peers.process(TimerDue(), now))
                    self._send_status(number, now)
            act()

    def find_excess(self) -> float:
        """Return the most retries in any window in relation to the bound."""
        bounds = self._bounds
        return max(
            sum(1 for other in self.repeats_ms if 0 <= other - start < window_ms)
            / (
                bounds.retry_slack
                + bounds.retry_share
                * sum(1 for other in self.requests_ms if 0 <= other - start < window_ms)
            )
            for window_ms in (bounds.retry_window_ms,)
            for start in set(self.repeats_ms)
        )

    def _send_status(self, number: int, now: Moment) -> None:
        host = self._hosts[number]
        status = replace(
            host.status,
            repeats=host.budget.notices(now),
            heard_digest=host.peers.heard_digest,
        )
        for receiver in range(len(self._hosts)):
            if receiver != number and self.delivers(number, receiver):
                delay_ms = self.random.randrange(MIN_DELAY_MS, MAX_DELAY_MS)
                due_ms = self.now_ms + -(-delay_ms // STEP_MS) * STEP_MS
                self._deliveries.setdefault(due_ms, []).append((receiver, status))
