"""``figshunt report`` and ``figshunt audit``: show data of a running daemon."""

import asyncio
import json
import sys

import aiohttp

REQUEST_TIMEOUT_S = 10.0
EXIT_UNREACHABLE = 3


def report(url: str) -> int:
    """Print the report of a running daemon, at most 40 columns wide.

    Exit status: 0, or 3 if the daemon can't be reached.

    :param url: base URL of the daemon's administration listener.
    """
    return _show(f"{url.rstrip('/')}/report", as_json_lines=False)


def audit(url: str) -> int:
    """Print the audit trail of a running daemon, one JSON entry per line.

    Exit status: 0, or 3 if the daemon can't be reached.

    :param url: base URL of the daemon's administration listener.
    """
    return _show(f"{url.rstrip('/')}/audit", as_json_lines=True)


def _show(url: str, *, as_json_lines: bool) -> int:
    try:
        text = asyncio.run(_fetch(url))
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        print(f"{url}: {type(error).__name__}: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE
    if as_json_lines:
        for entry in json.loads(text):
            print(json.dumps(entry))
    else:
        print(text, end="")
    return 0


async def _fetch(url: str) -> str:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout, raise_for_status=True) as session:
        async with session.get(url) as response:
            return await response.text()
