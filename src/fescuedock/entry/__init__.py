"""The entry: HTTP for callers and operators."""
