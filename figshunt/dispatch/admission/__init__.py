"""Decides which calls may run: their route, team, contents and prompt parts."""
