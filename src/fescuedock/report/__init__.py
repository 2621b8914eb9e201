"""Metrics, the service-level burn report, and the history of single requests from logs."""
