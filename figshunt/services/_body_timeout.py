"""Limits the time in which a caller sends the body of its request."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from figshunt.services._caller_protocol import CallerProtocol

# After a pause of the process, what arrived in time is read in several turns of the
# event loop. The number of checks is limited, as a caller may send without end.
CHECK_INTERVAL_S = 0.01
MAX_CHECKS = 100


@contextlib.asynccontextmanager
async def limit_body_time(
    connection: CallerProtocol, timeout_s: float
) -> AsyncIterator[None]:
    """Cancel the reading of a body once no more of it has arrived in time.

    An event loop that was held up runs timers before it has processed the bytes that
    arrived meanwhile.

    :raises TimeoutError: if the body isn't whole.
    """
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle

    def check(remaining_checks: int) -> None:
        nonlocal timer
        has_arrived = connection.has_whole_request or connection.has_unread_bytes
        if has_arrived and remaining_checks:
            timer = loop.call_later(CHECK_INTERVAL_S, check, remaining_checks - 1)
        else:
            limit.reschedule(loop.time())

    async with asyncio.timeout(None) as limit:
        timer = loop.call_later(timeout_s, check, MAX_CHECKS)
        try:
            yield
        finally:
            timer.cancel()
