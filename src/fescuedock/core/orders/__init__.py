"""Decisions on orders to engines: who gives them, which ones, and how many loads at once."""
