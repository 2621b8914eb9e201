"""Decisions of the batch runner: a job's phases, items, commits and takeover."""
