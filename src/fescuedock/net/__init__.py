"""Transport on trio: HTTP with h11, and messages between fescuedock processes with ZeroMQ."""
