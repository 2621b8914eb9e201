"""Messages, settings and result codes, generated from ``source``."""
