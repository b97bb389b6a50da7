"""Tracks the attempts of calls until each caller has one whole answer."""
