"""Tests of figshunt; ``python -m tests`` runs them all."""
