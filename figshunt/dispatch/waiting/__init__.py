"""Holds calls that have no room yet, and tells refused callers when to return."""
