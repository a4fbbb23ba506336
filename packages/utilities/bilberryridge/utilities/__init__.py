"""Helpers general enough for every package."""
