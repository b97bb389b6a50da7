"""Starts an entry host from the installed package.

It imports the command's own module: the package's command line would load a
library for options, which takes a fifth of the whole start.
"""

import sys

from figshunt.commands._gateway import gateway

sys.exit(gateway())
