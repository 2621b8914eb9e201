"""The store: write-once segments and result logs on disk."""
