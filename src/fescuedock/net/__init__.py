"""Transport: HTTP by h11, and messages between our processes by ZeroMQ, both on trio."""
