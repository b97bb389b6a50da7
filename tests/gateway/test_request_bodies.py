"""Request bodies that together exceed the memory of a host."""

import asyncio
import unittest

from figshunt.gateway._body_budget import SMALL_BODY_BYTES, BodyBudget
from figshunt.standins import RunnerBehaviour
from tests.gateway.fixture import CALLER_API_KEY, LOOPBACK, GatewayFixture, wait_until

LARGE_BODY_BYTES = 4 * 1024 * 1024


class RequestBodyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a host that is killed with all its requests in progress."""

    async def asyncSetUp(self) -> None:
        self.fixture = GatewayFixture()
        await self.fixture.__aenter__()
        self.addAsyncCleanup(self.fixture.__aexit__, None, None, None)
        for runner in self.fixture.bookings:
            runner.behaviour = RunnerBehaviour.HANG

    async def post(self, number: int, body: object) -> tuple[int, str | None]:
        async with self.fixture.session.post(
            f"http://{LOOPBACK}:{self.fixture.daemon.front.port}/book/1",
            headers={
                "Host": "h.example",
                "X-Figshunt-Attempt-Id": f"r{number}",
                "X-Figshunt-Deadline-Ms": "4000",
                "Authorization": f"Token {CALLER_API_KEY}",
            },
            data=body,
        ) as response:
            return response.status, response.headers.get("Retry-After")

    def received(self) -> set[str | None]:
        return {
            request.header("X-Figshunt-Attempt-Id")
            for runner in self.fixture.bookings
            for request in runner.received_requests
        }

    async def test_bodies_beyond_the_limit_are_refused_and_small_ones_are_not(
        self,
    ) -> None:
        budget = self.fixture.daemon.front._body_budget
        tasks = [
            asyncio.create_task(self.post(number, b"v" * LARGE_BODY_BYTES))
            for number in range(12)
        ]
        await wait_until(lambda: len(self.received()) == 8)
        tasks.append(asyncio.create_task(self.post(100, b"v" * 18_000)))
        await wait_until(lambda: "r100" in self.received())
        replies = await asyncio.gather(*tasks)
        refused = [reply for reply in replies if reply[0] == 503]
        self.assertEqual([(503, "1.000")] * 4, refused)
        self.assertEqual(9, len(self.received()))
        await wait_until(lambda: budget.held_bytes == 0)

    async def test_body_without_a_length_is_counted_as_it_grows(self) -> None:
        self.fixture.daemon.front._body_budget = BodyBudget(1_000_000)

        async def chunks():
            for _ in range(20):
                yield b"v" * SMALL_BODY_BYTES

        self.assertEqual((503, "1.000"), await self.post(1, chunks()))
        self.assertEqual(set(), self.received())
        self.assertEqual(0, self.fixture.daemon.front._body_budget.held_bytes)


if __name__ == "__main__":
    unittest.main()
