"""The base of messages between our processes."""

from msgspec import Struct

__all__ = ["WireStruct"]


class WireStruct(Struct, array_like=True):
    """A message encoded as its fields' values in order, without their names.

    Names were half of the bytes of a permit's messages.  So that VMs of two versions understand
    each other, a field may only be added at the end, with a default, and none may be removed.
    """
