"""Benchmarks; each prints its figures to standard output."""
