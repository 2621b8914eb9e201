"""Decisions of the batch runner: a job's life, its items, its commits, and who takes it over."""
