"""Signals by which a daemon is controlled."""

import asyncio
import signal
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP


class ControlSignals:
    """SIGTERM and SIGINT request a graceful shutdown, SIGHUP a reload.

    Further signals don't shorten a shutdown.
    """

    def __init__(self, on_reload: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._stop_requested = asyncio.Event()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(RELOAD_SIGNAL, on_reload)

    async def wait_for_stop(self) -> None:
        """Wait until a shutdown is requested."""
        await self._stop_requested.wait()

    def block(self) -> None:
        """Ignore signals from now on, as the process is about to end.

        An event loop that is closed restores their default actions, by which they end
        the process with another exit status.
        """
        signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, RELOAD_SIGNAL))
