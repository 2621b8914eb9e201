"""Decisions on orders to engines: the holder that sends them, their choice, and load limits."""
