"""Decisions about batch jobs whose items and results are stored in the key-value service."""
