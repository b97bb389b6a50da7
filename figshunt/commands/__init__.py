"""Commands of the ``figshunt`` command line."""

from figshunt.commands._main import main

__all__ = ["main"]
