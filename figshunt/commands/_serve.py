"""``figshunt serve``: run one daemon until SIGTERM or SIGINT."""

import asyncio
import random
import sys
from pathlib import Path

from figshunt.codec import read_settings
from figshunt.commands._control_signals import ControlSignals
from figshunt.runtime import open_log
from figshunt.services import Daemon
from figshunt.settings import CheckedSettings, DaemonSettings
from figshunt.tables import Fault
from figshunt.types import SystemClock

EXIT_SETTINGS_INVALID = 2


def serve(settings: Path) -> int:
    """Run one daemon until SIGTERM or SIGINT requests a graceful shutdown.

    The shutdown completes all requests in progress; further signals don't
    shorten it. SIGHUP checks the settings file again and logs whether a restart is
    needed, as all settings apply from the start of a daemon.

    Exit status: 0 after a graceful shutdown, 2 if the settings are invalid.

    :param settings: settings file, JSON with comments.
    """
    check_result = read_settings(settings)
    if check_result.settings is None:
        for fault in check_result.faults:
            print(f"{settings}: {fault}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    open_log(check_result.settings.log_level)
    asyncio.run(_run(settings, check_result.settings))
    return 0


async def _run(path: Path, settings: DaemonSettings) -> None:
    daemon = Daemon(settings, SystemClock(), random.Random())
    signals = ControlSignals(lambda: _check_settings(path, daemon))
    await daemon.start()
    await signals.wait_for_stop()
    await daemon.drain()
    signals.block()
    await daemon.stop()


def _check_settings(path: Path, daemon: Daemon) -> None:
    try:
        checked = read_settings(path)
    except (OSError, UnicodeError) as error:
        checked = CheckedSettings(None, (Fault("settings", f"a file: {error}"),))
    daemon.check_settings(checked)
