"""Clients of what the platform gives, each behind one narrow interface."""
