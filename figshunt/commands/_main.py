"""Entry point of the ``figshunt`` command."""

import sys
from collections.abc import Sequence

import defopt

from figshunt.commands._check import check
from figshunt.commands._demo import demo
from figshunt.commands._gateway import gateway
from figshunt.commands._replay import replay
from figshunt.commands._serve import serve
from figshunt.commands._show import audit, report


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the command's status."""
    status = defopt.run(
        [serve, gateway, demo, check, replay, report, audit],
        argv=arguments,
        cli_options="has_default",
        no_negated_flags=True,
    )
    sys.exit(status or 0)
