"""Tests of figshunt; ``python -m tests`` runs them all."""

import os

from hypothesis import settings

# Property tests give the same verdict at every run of CI; elsewhere they look
# for new counterexamples and print how to repeat them.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.register_profile("local", deadline=None, print_blob=True)
settings.load_profile("ci" if os.environ.get("CI") else "local")
