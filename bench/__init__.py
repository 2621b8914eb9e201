"""Benches that anyone can run; each prints its method, its figures and their ratios."""
