"""Lets ``python -m figshunt`` run the command line."""

from figshunt.commands import main

if __name__ == "__main__":
    main()
