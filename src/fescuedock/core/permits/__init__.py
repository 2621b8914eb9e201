"""Permits decide who may start an attempt at an upstream now.

Every attempt needs a permit from the one agent that owns its upstream.  The owner keeps a queue of
requests, an exact count of running attempts, and a concurrency limit that follows the online
latency reported to it.  The modules do no I/O.
"""
