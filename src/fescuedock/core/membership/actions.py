"""What membership asks its shell to do."""

import msgspec

from fescuedock.address import Address

__all__ = ["Action", "PeerVersion", "Send"]


class Send(msgspec.Struct, frozen=True):
    """Send ``message`` as one datagram."""

    address: Address
    message: msgspec.Struct


class PeerVersion(msgspec.Struct, frozen=True):
    """A VM has just said which configuration version it has in force."""

    vm_id: str
    config_version: int


Action = Send | PeerVersion
