"""``figshunt serve``: run one daemon until SIGTERM or SIGINT."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from figshunt.codec import read_settings
from figshunt.runtime import open_log
from figshunt.services import Daemon
from figshunt.settings import DaemonSettings
from figshunt.types import SystemClock

EXIT_SETTINGS_INVALID = 2


def serve(settings: Path) -> int:
    """Run one daemon until SIGTERM or SIGINT requests a graceful shutdown.

    The shutdown completes all requests in progress; further signals don't
    shorten it.

    Exit status: 0 after a graceful shutdown, 2 if the settings are invalid.

    :param settings: settings file, JSON with comments.
    """
    check_result = read_settings(settings)
    if check_result.settings is None:
        for fault in check_result.faults:
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    open_log(check_result.settings.log_level)
    asyncio.run(_run(check_result.settings))
    return 0


async def _run(settings: DaemonSettings) -> None:
    daemon = Daemon(settings, SystemClock(), random.Random())
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await daemon.start()
    await stop_requested.wait()
    await daemon.drain()
    await daemon.stop()
