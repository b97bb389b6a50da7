"""Chooses the runner that a call is sent to."""
