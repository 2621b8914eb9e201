"""Actions that membership returns for the caller, which does the I/O, to carry out."""

import msgspec

from fescuedock.address import Address

__all__ = ["Action", "PeerVersion", "Send"]


class Send(msgspec.Struct, frozen=True):
    """Send ``message`` as one datagram."""

    address: Address
    message: msgspec.Struct


class PeerVersion(msgspec.Struct, frozen=True):
    """A VM has just reported the configuration version that it has in force."""

    vm_id: str
    config_version: int


Action = Send | PeerVersion
