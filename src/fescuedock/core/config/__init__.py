"""Decisions on the configuration: patches, validation, the replica rule, writes."""
