"""Entry point of the ``figshunt`` command."""

import gc
import importlib
import signal
import sys
from collections.abc import Callable, Sequence

COMMANDS = ("serve", "gateway", "demo", "check", "replay", "report", "audit")
MODULES_BY_COMMAND = {"report": "_show", "audit": "_show"}


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command line and exit with the status of the command.

    Only the selected command and the libraries that it needs are imported.
    """
    import defopt

    argv = list(sys.argv[1:] if arguments is None else arguments)
    selected_commands = [
        command_name for command_name in argv[:1] if command_name in COMMANDS
    ]
    if selected_commands == ["gateway"]:
        # A SIGHUP during the imports would end the process. Ignoring it is safe,
        # because the daemon reads its settings after the imports.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    status = defopt.run(
        {
            command_name: _load_command(command_name)
            for command_name in selected_commands or COMMANDS
        },
        argv=argv,
        cli_options="has_default",
        no_negated_flags=True,
    )
    # The interpreter would look for garbage among all objects before it ends, which
    # takes a daemon most of the time between its last log line and its end.
    gc.freeze()
    sys.exit(status or 0)


def _load_command(command_name: str) -> Callable[..., int]:
    module_name = MODULES_BY_COMMAND.get(command_name, f"_{command_name}")
    command: Callable[..., int] = getattr(
        importlib.import_module(f"figshunt.commands.{module_name}"), command_name
    )
    return command
