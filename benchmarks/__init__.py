"""Benchmarks; each prints one line of figures."""
