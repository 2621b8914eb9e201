"""Decisions on orders to engines: fencing, placement of models, paced loads."""
