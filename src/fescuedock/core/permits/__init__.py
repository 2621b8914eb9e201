"""Permits: who may start an attempt at an upstream now.  Pure decisions, no I/O.

Every attempt needs a permit from the one agent that owns its upstream.  The owner keeps a queue,
an exact count of what runs, and a limit that follows the online latency it is told of.
"""
