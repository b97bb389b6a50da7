"""``figshunt gateway``: run one entry host on the users' platform."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from figshunt.commands._settings_watch import SettingsWatch
from figshunt.gateway import BootClock, GatewayDaemon, GatewaySettings, LineOutput
from figshunt.platform import (
    READINESS_PATH,
    PlatformCallCodec,
    PlatformItemCodec,
    PlatformStoreClient,
    read_platform_settings,
    settings_path,
)
from figshunt.runtime import open_log
from figshunt.types import FigshuntError

EXIT_SETTINGS_INVALID = 2
STANDARD_OUTPUT = 1
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def gateway(*, settings: Path | None = None) -> int:
    """Run one entry host on the platform until SIGTERM or SIGINT.

    Exit status: 0 after a graceful shutdown, 2 if the settings are invalid.

    :param settings: the platform's settings file; defaults to the path in
        the environment variable that the platform sets.
    """
    output = LineOutput(STANDARD_OUTPUT)
    try:
        gateway_settings = read_platform_settings(settings or settings_path())
    except FigshuntError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    open_log(gateway_settings.log_level, output)
    asyncio.run(_run(settings or settings_path(), gateway_settings, output))
    return 0


async def _run(path: Path, settings: GatewaySettings, output: LineOutput) -> None:
    loop = asyncio.get_running_loop()
    output.attach(loop)
    daemon = GatewayDaemon(
        settings,
        PlatformCallCodec(),
        PlatformItemCodec(),
        PlatformStoreClient(settings.store),
        READINESS_PATH,
        BootClock(),
        random.Random(),
    )
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    settings_watch = SettingsWatch(path, lambda: _reload(path, daemon))
    loop.add_signal_handler(signal.SIGHUP, settings_watch.reload)
    await daemon.start()
    watch_task = loop.create_task(settings_watch.run())
    await stop_requested.wait()
    watch_task.cancel()
    await daemon.drain()
    await daemon.stop()
    # The end of the loop restores the default actions, which would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def _reload(path: Path, daemon: GatewayDaemon) -> None:
    try:
        daemon.reload(read_platform_settings(path))
    except FigshuntError as error:
        daemon.report_invalid_settings(error)
