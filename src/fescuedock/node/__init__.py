"""The node program: entry, agent and batch runner of a VM in one process, on one loop."""
