"""The platform's balancer: spreads connections over the daemons that are ready."""

import asyncio
import itertools

import aiohttp

from tests.harness._fault_proxy import LOOPBACK, FaultProxy
from tests.harness._fleet import Fleet

CHECK_INTERVAL_S = 0.1
CHECK_LIMIT_S = 1.0


class Balancer(FaultProxy):
    """Sends each new connection to the next daemon whose ``/readyz`` says so."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self._fleet = fleet
        self._ready: frozenset[int] = frozenset(fleet.seats)
        self._turns = itertools.count()
        self._checks: asyncio.Task[None] | None = None

    async def start(self) -> "Balancer":
        """Bind the listener and start the health checks."""
        await super().start()
        self._checks = asyncio.create_task(self._check_all())
        return self

    async def stop(self) -> None:
        """End the checks and close every connection."""
        if self._checks is not None:
            self._checks.cancel()
        await super().stop()

    async def open_target(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to a ready daemon, trying the others if one refuses."""
        seats = sorted(self._ready)
        turn = next(self._turns)
        for index in range(len(seats)):
            seat = seats[(turn + index) % len(seats)]
            port = self._fleet.daemons_by_seat[seat].caller_port
            try:
                return await asyncio.open_connection(LOOPBACK, port)
            except OSError:
                continue
        raise ConnectionRefusedError("no daemon is ready")

    async def _check_all(self) -> None:
        timeout = aiohttp.ClientTimeout(total=CHECK_LIMIT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                seats = tuple(self._fleet.seats)
                results = await asyncio.gather(
                    *(self._is_ready(session, seat) for seat in seats)
                )
                self._ready = frozenset(itertools.compress(seats, results))
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _is_ready(self, session: aiohttp.ClientSession, seat: int) -> bool:
        url = f"{self._fleet.daemons_by_seat[seat].admin_url}/readyz"
        try:
            async with session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
