"""Recorded traces, their replay and the report."""

__all__ = []
