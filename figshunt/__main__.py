"""Command-line entry point for ``python -m figshunt``."""

from figshunt.commands import main

if __name__ == "__main__":
    main()
