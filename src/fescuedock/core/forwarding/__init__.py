"""Decisions about calls that are forwarded to upstreams without interpreting their bodies."""
