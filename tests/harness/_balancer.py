"""A load balancer that distributes connections over the ready daemons."""

import asyncio
import itertools

import aiohttp

from tests.harness._fault_proxy import LOOPBACK, FaultProxy
from tests.harness._fleet import Fleet

CHECK_INTERVAL_S = 0.1
CHECK_TIMEOUT_S = 1.0


class Balancer(FaultProxy):
    """Distributes new connections round-robin over the ready daemons.

    It stands in for the load balancer of the platform. A daemon is ready while
    its ``/readyz`` answers with status 200.
    """

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet
        self._ready_seats: frozenset[int] = frozenset(fleet.seats)
        self._connection_numbers = itertools.count()
        self._health_checks: asyncio.Task[None] | None = None

    async def start(self) -> "Balancer":
        """Bind the listener and start the health checks."""
        await super().start()
        self._health_checks = asyncio.create_task(self._run_health_checks())
        return self

    async def stop(self) -> None:
        """Stop the health checks and close all connections."""
        if self._health_checks is not None:
            self._health_checks.cancel()
        await super().stop()

    async def open_target(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the next ready daemon; try the others if it refuses.

        :raises OSError: if no ready daemon accepts the connection.
        """
        seats = sorted(self._ready_seats)
        connection_number = next(self._connection_numbers)
        for index in range(len(seats)):
            seat = seats[(connection_number + index) % len(seats)]
            port = self._fleet.daemons_by_seat[seat].caller_port
            try:
                return await asyncio.open_connection(LOOPBACK, port)
            except OSError:
                continue
        raise ConnectionRefusedError("no ready daemon accepted the connection")

    async def _run_health_checks(self) -> None:
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                seats = tuple(self._fleet.seats)
                readiness = await asyncio.gather(
                    *(self._is_ready(session, seat) for seat in seats)
                )
                self._ready_seats = frozenset(itertools.compress(seats, readiness))
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _is_ready(self, session: aiohttp.ClientSession, seat: int) -> bool:
        url = f"{self._fleet.daemons_by_seat[seat].admin_url}/readyz"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
