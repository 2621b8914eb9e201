"""A randomized soak of real node processes: see ``tests.soak.__main__`` and docs/SOAK.md."""
