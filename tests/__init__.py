"""Tests: fixed seeds, virtual time where the logic is pure, the same verdict every time."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
