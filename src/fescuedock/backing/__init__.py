"""Clients of the backing services, each behind one narrow interface."""
