"""A randomized soak test of real node processes; see ``tests.soak.__main__`` and docs/SOAK.md."""
