"""The program on VMs with a disk: stores jobs during outages, and the origins of streams."""
